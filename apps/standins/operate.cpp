#include "standin.hpp" // run_publish, run_request

#include <parsleyshift/client/http_connection.hpp> // http_connection
#include <parsleyshift/records/record_files.hpp>   // read_record_files

#include <iostream> // cout, cerr
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift::standins
{
namespace
{

constexpr duration stall{10'000};

int write_record_at(http_connection& service, const raw_record& record)
{
    const std::string target =
        "/records/" + record.kind + "/" + url_escape(record.name) + "?schema=" + std::to_string(record.schema);
    const auto answer = service.call({"PUT", target, record.body, ""});
    if (!answer || answer.value().status != 200)
    {
        std::cerr << "standins publish: " << record.kind << "/" << record.name << ": "
                  << (answer ? answer.value().body : answer.error().message()) << "\n";
        return 1;
    }
    std::cout << record.kind << "/" << record.name << " " << answer.value().body << "\n";
    return 0;
}

} // namespace

int run_publish(int argc, char** argv)
{
    if (argc != 3)
    {
        std::cerr << "usage: standins publish IP:PORT FOLDER\n";
        return 2;
    }
    const auto records = read_record_files(argv[2]);
    if (!records)
    {
        std::cerr << "standins publish: " << records.error().message() << "\n";
        return 2;
    }
    http_connection service{argv[1], stall};
    int failures = 0;
    for (const raw_record& record : records.value())
    {
        failures += write_record_at(service, record);
    }
    return failures == 0 ? 0 : 1;
}

int run_request(int argc, char** argv)
{
    if (argc < 4 || argc > 5)
    {
        std::cerr << "usage: standins request METHOD IP:PORT TARGET [BODY]\n";
        return 2;
    }
    http_connection server{argv[2], stall};
    const auto answer = server.call({argv[1], argv[3], argc == 5 ? argv[4] : "", ""});
    if (!answer)
    {
        std::cerr << "standins request: " << answer.error().message() << "\n";
        return 1;
    }
    std::cout << answer.value().body << "\n";
    return answer.value().status < 400 ? 0 : 1;
}

} // namespace parsleyshift::standins
