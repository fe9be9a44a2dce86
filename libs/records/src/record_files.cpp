#include <parsleyshift/records/record_files.hpp> // read_record_files

#include <parsleyshift/records/json_reader.hpp> // json_reader, parse_json

#include <algorithm>    // sort
#include <fstream>      // ifstream
#include <iterator>     // istreambuf_iterator
#include <string>       // string
#include <system_error> // error_code

namespace parsleyshift
{
namespace
{

namespace fs = std::filesystem;

constexpr std::size_t max_files = 50'000;

const json_reader<raw_record>& header_reader()
{
    static const json_reader<raw_record> reader =
        json_reader<raw_record>{"A record file without its body."}
            .field("kind", &raw_record::kind, {.description = "Kind of record.", .required = true})
            .field("name", &raw_record::name, {.description = "Name of the record.", .required = true})
            .field("schema", &raw_record::schema, {.description = "Schema version of the body.", .required = true});
    return reader;
}

result<raw_record> read_file(const fs::path& file)
{
    std::ifstream stream{file, std::ios::binary};
    const std::string text{std::istreambuf_iterator<char>{stream}, {}};
    if (!stream.good() && !stream.eof())
    {
        return make_error(error_kind::file_unreadable, file.string());
    }
    auto document = parse_json(text);
    if (!document)
    {
        return make_error(error_kind::malformed_request, file.string() + ": " + document.error().text());
    }
    nlohmann::json header = std::move(document).value();
    if (!header.is_object() || !header.contains("body"))
    {
        return make_error(error_kind::malformed_request,
                          file.string() + ": must be a JSON object with the key \"body\"");
    }
    const std::string body = header["body"].dump();
    header.erase("body");
    auto record = header_reader().read_document(header);
    if (!record)
    {
        return make_error(error_kind::malformed_request, file.string() + ": " + record.error().text());
    }
    record.value().body = body;
    return std::move(record).value();
}

} // namespace

result<std::vector<raw_record>> read_record_files(const fs::path& folder)
{
    std::error_code status;
    std::vector<fs::path> files;
    for (fs::directory_iterator entry{folder, status}; !status && entry != fs::directory_iterator{};
         entry.increment(status))
    {
        if (entry->path().extension() == ".json" && files.size() < max_files)
        {
            files.push_back(entry->path());
        }
    }
    if (status)
    {
        return make_error(error_kind::file_unreadable, folder.string() + ": " + status.message());
    }
    std::sort(files.begin(), files.end());
    std::vector<raw_record> records;
    for (const fs::path& file : files)
    {
        BOOST_OUTCOME_TRY(auto record, read_file(file));
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace parsleyshift
