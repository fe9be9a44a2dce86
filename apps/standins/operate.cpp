#include "standin.hpp" // run_publish, run_request

#include <parsleyshift/client/client_connection.hpp> // client_connection
#include <parsleyshift/records/record_files.hpp>     // read_record_files

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp

#include <cstdlib>  // atoi
#include <iostream> // cout, cerr
#include <string>   // string
#include <vector>   // vector

namespace parsleyshift::standins
{
namespace
{

using boost::asio::ip::tcp;

constexpr duration stall{10'000};

int write_record_at(client_connection& service, const raw_record& record)
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
    client_connection service{argv[1], stall};
    int failures = 0;
    for (const raw_record& record : records.value())
    {
        failures += write_record_at(service, record);
    }
    return failures == 0 ? 0 : 1;
}

int run_ports(int argc, char** argv)
{
    const int wanted = argc == 2 ? std::atoi(argv[1]) : 0;
    if (wanted < 1 || wanted > 100)
    {
        std::cerr << "usage: standins ports COUNT\n";
        return 2;
    }
    boost::asio::io_context context;
    // All are held until the last one is chosen, so that the ports differ.
    std::vector<tcp::acceptor> held;
    for (int index = 0; index < wanted; ++index)
    {
        held.emplace_back(context, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0});
        std::cout << held.back().local_endpoint().port() << "\n";
    }
    return 0;
}

int run_request(int argc, char** argv)
{
    if (argc < 4 || argc > 5)
    {
        std::cerr << "usage: standins request METHOD IP:PORT TARGET [BODY]\n";
        return 2;
    }
    client_connection server{argv[2], stall};
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
