#include "http_server.hpp" // serve, exchange
#include "standin.hpp"     // run_list

#include <parsleyshift/client/json_member.hpp> // member_or

#include <chrono>     // milliseconds
#include <deque>      // deque
#include <filesystem> // last_write_time
#include <fstream>    // ifstream
#include <iostream>   // cout
#include <map>        // map
#include <memory>     // shared_ptr
#include <mutex>      // mutex

namespace parsleyshift::standins
{
namespace
{

constexpr std::size_t max_instances = 20'000;
constexpr std::size_t max_changes = 100'000;

/// The platform's list; a change shows only after the lag.
class instance_list
{
  public:
    instance_list(std::int64_t lag_ms, std::string file) : lag_ms_(lag_ms), file_(std::move(file)) {}

    void handle(exchange& call)
    {
        const std::string id = call.path_after("/instances/");
        const std::lock_guard lock{mutex_};
        if (call.is("GET", "/instances"))
        {
            read_file();
            call.reply(200, visible());
        }
        else if (!id.empty() && (call.method() == "PUT" || call.method() == "DELETE"))
        {
            change(call, id);
        }
        else if (call.is("POST", "/admin"))
        {
            lag_ms_ = member_or<std::int64_t>(call.body(), "lag_ms", lag_ms_);
            call.reply(200, {{"lag_ms", lag_ms_}});
        }
        else
        {
            call.reply(404, {{"error", "no such call"}});
        }
    }

  private:
    struct change_row
    {
        std::int64_t visible_ms = 0;
        std::string id;
        /// Null: the row is removed.
        nlohmann::json row;
    };

    void change(exchange& call, const std::string& id)
    {
        nlohmann::json row = call.method() == "PUT" ? call.body() : nlohmann::json{};
        if ((call.method() == "PUT" && !row.is_object()) || changes_.size() >= max_changes)
        {
            call.reply(400, {{"error", "the body must be an object of the list"}});
            return;
        }
        changes_.push_back({now_ms() + lag_ms_, id, std::move(row)});
        call.reply(200, {{"visible_in_ms", lag_ms_}});
    }
    nlohmann::json visible()
    {
        while (!changes_.empty() && changes_.front().visible_ms <= now_ms())
        {
            apply(changes_.front());
            changes_.pop_front();
        }
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& row : rows_)
        {
            rows.push_back(row.second);
        }
        return {{"as_of_ms", now_ms() - lag_ms_}, {"instances", rows}};
    }
    void apply(const change_row& changed)
    {
        if (changed.row.is_null())
        {
            rows_.erase(changed.id);
        }
        else if (rows_.size() < max_instances || rows_.count(changed.id) != 0)
        {
            rows_[changed.id] = changed.row;
        }
    }
    /// Rows of the file are added or replaced when the file has changed; an unreadable file changes nothing.
    void read_file()
    {
        std::error_code failed;
        const auto written = std::filesystem::last_write_time(file_, failed);
        if (file_.empty() || failed || written == read_at_)
        {
            return;
        }
        read_at_ = written;
        std::ifstream stream{file_};
        const nlohmann::json parsed = nlohmann::json::parse(stream, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("instances") || !parsed["instances"].is_array())
        {
            std::cerr << "standins list: " << file_ << " holds no list of instances\n";
            return;
        }
        for (const nlohmann::json& row : parsed["instances"])
        {
            changes_.push_back({now_ms() + lag_ms_, member_or<std::string>(row, "id", ""), row});
        }
    }

    std::mutex mutex_;
    std::int64_t lag_ms_;
    std::string file_;
    std::filesystem::file_time_type read_at_{};
    std::deque<change_row> changes_;
    std::map<std::string, nlohmann::json> rows_;
};

} // namespace

int run_list(int argc, char** argv)
{
    cxxopts::Options options{"standins list", "The platform's list of instances"};
    auto add = options.add_options();
    add("address", "ip:port to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("lag-ms", "time until a change shows", cxxopts::value<std::int64_t>()->default_value("500"));
    add("file", "JSON file of rows, read again when it changes", cxxopts::value<std::string>()->default_value(""));
    add("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto list = std::make_shared<instance_list>(parsed["lag-ms"].as<std::int64_t>(), parsed["file"].as<std::string>());
    return serve("list", parsed["address"].as<std::string>(),
                 {[list](exchange& call) { list->handle(call); }, [](const std::string&) {},
                  [] {
                  }});
}

} // namespace parsleyshift::standins
