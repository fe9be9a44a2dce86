#include "http_server.hpp" // serve, exchange
#include "standin.hpp"     // run_configuration

#include <parsleyshift/client/json_member.hpp> // member_or

#include <chrono>             // milliseconds
#include <condition_variable> // condition_variable
#include <iostream>           // cout
#include <map>                // map
#include <memory>             // shared_ptr
#include <mutex>              // mutex

namespace parsleyshift::standins
{
namespace
{

constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
constexpr std::size_t max_records = 50'000;
constexpr std::int64_t max_wait_ms = 60'000;

/// Versioned records with a watch; each write takes the next revision.
class configuration_store
{
  public:
    void handle(exchange& call)
    {
        const std::string key = call.path_after("/records/");
        if (call.is("GET", "/records"))
        {
            read(call);
        }
        else if (!key.empty() && call.method() == "PUT")
        {
            write(call, key, call.body(), false);
        }
        else if (!key.empty() && call.method() == "DELETE")
        {
            write(call, key, nullptr, true);
        }
        else if (call.is("GET", "/calls"))
        {
            const std::lock_guard lock{mutex_};
            call.reply(200, {{"calls", calls_}, {"watching", watching_}});
        }
        else if (call.is("POST", "/admin"))
        {
            administer(call);
        }
        else
        {
            call.reply(404, {{"error", "no such call"}});
        }
    }

  private:
    void read(exchange& call)
    {
        const std::int64_t after = call.query_number("after", 0);
        const auto wait =
            std::chrono::milliseconds{std::clamp<std::int64_t>(call.query_number("wait_ms", 0), 0, max_wait_ms)};
        std::unique_lock lock{mutex_};
        ++calls_;
        ++watching_;
        changed_.wait_for(lock, wait, [this, after] { return down_ || visible_revision() > after; });
        --watching_;
        if (down_)
        {
            lock.unlock();
            call.drop();
            return;
        }
        const nlohmann::json answer = changes_after(after);
        lock.unlock();
        call.reply(200, answer);
    }
    /// While stale, the service answers from the state at the time it became stale.
    [[nodiscard]] std::int64_t visible_revision() const
    {
        return stale_ ? stale_revision_ : revision_;
    }
    nlohmann::json changes_after(std::int64_t after) const
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto& row : stale_ ? stale_records_ : records_)
        {
            if (row.second.at("revision").get<std::int64_t>() > after)
            {
                rows.push_back(row.second);
            }
        }
        return {{"revision", visible_revision()}, {"records", rows}};
    }
    void write(exchange& call, const std::string& key, const nlohmann::json& body, bool withdrawn)
    {
        const std::size_t slash = key.find('/');
        if (slash == std::string::npos || slash == 0 || slash + 1 == key.size() || body.dump().size() > max_value_bytes)
        {
            call.reply(400, {{"error", "write /records/KIND/NAME with a JSON object of at most 1 MB"}});
            return;
        }
        std::unique_lock lock{mutex_};
        if (down_ || (records_.size() >= max_records && records_.count(key) == 0))
        {
            lock.unlock();
            call.reply(503, {{"error", "down or full"}});
            return;
        }
        const std::int64_t revision = ++revision_;
        // The value is stored as it is: a bad record must reach its readers.
        records_[key] = {{"kind", key.substr(0, slash)}, {"name", key.substr(slash + 1)},
                         {"revision", revision},         {"schema", call.query_number("schema", 1)},
                         {"withdrawn", withdrawn},       {"body", body}};
        lock.unlock();
        changed_.notify_all();
        call.reply(200, {{"revision", revision}});
    }
    void administer(exchange& call)
    {
        const nlohmann::json request = call.body();
        {
            const std::lock_guard lock{mutex_};
            down_ = member_or<bool>(request, "down", down_);
            const bool stale = member_or<bool>(request, "stale", stale_);
            if (stale && !stale_)
            {
                stale_records_ = records_;
                stale_revision_ = revision_;
            }
            stale_ = stale;
        }
        changed_.notify_all();
        call.reply(200, {{"done", true}});
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, nlohmann::json> records_;
    std::map<std::string, nlohmann::json> stale_records_;
    std::int64_t revision_ = 0;
    std::int64_t stale_revision_ = 0;
    std::int64_t calls_ = 0;
    std::int64_t watching_ = 0;
    bool down_ = false;
    bool stale_ = false;
};

} // namespace

int run_configuration(int argc, char** argv)
{
    cxxopts::Options options{"standins configuration", "A configuration service; operators write with PUT and DELETE"};
    auto add = options.add_options();
    add("address", "ip:port to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto store = std::make_shared<configuration_store>();
    return serve("configuration", parsed["address"].as<std::string>(),
                 {[store](exchange& call) { store->handle(call); }, [](const std::string&) {},
                  [] {
                  }});
}

} // namespace parsleyshift::standins
