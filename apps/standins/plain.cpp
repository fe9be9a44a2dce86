#include "endpoint.hpp"    // registration, announce
#include "http_server.hpp" // serve, exchange
#include "standin.hpp"     // run_plain

#include <parsleyshift/client/json_member.hpp> // member_or

#include <chrono>   // milliseconds
#include <cstdlib>  // quick_exit
#include <deque>    // deque
#include <iostream> // cout
#include <memory>   // shared_ptr
#include <mutex>    // mutex
#include <set>      // set
#include <thread>   // sleep_for

namespace parsleyshift::standins
{
namespace
{

constexpr std::size_t kept_executions = 100'000;

/// What the next calls do instead of answering at once.
struct plain_faults
{
    std::int64_t delay_ms = 2;
    /// "": none; "not_started": 503 with the proof; "error": ran and failed; "drop_before": the connection closes and
    /// nothing ran; "drop_after": it ran, then the connection closes.
    std::string fault;
    /// Calls that the fault still hits.
    std::int64_t fault_count = 0;
};

/// Runs operations and remembers each execution, so that tests can judge doubles.
class plain_service
{
  public:
    plain_service(registration self, plain_faults faults, bool checks_keys, long notice_ms)
        : self_(std::move(self)), faults_(std::move(faults)), checks_keys_(checks_keys), notice_ms_(notice_ms)
    {
    }
    void handle(exchange& call)
    {
        if (call.is("POST", "/call"))
        {
            run(call);
        }
        else if (call.is("GET", "/load"))
        {
            call.reply(200, load());
        }
        else if (call.is("GET", "/executed"))
        {
            call.reply(200, executed());
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
    void ready(const std::string& address)
    {
        self_.address = address;
        announce(self_, "live");
    }
    void leave()
    {
        {
            const std::lock_guard lock{mutex_};
            leaving_ = true;
        }
        announce(self_, "leaving");
        if (notice_ms_ > 0)
        {
            exit_after(notice_ms_);
        }
    }

  private:
    struct execution
    {
        std::string operation;
        std::string key;
        std::string payload;
        std::int64_t at_ms = 0;
    };

    void run(exchange& call)
    {
        const nlohmann::json request = call.body();
        const std::string operation = member_or<std::string>(request, "operation", "");
        if (operation.empty() || !request.contains("payload"))
        {
            call.reply(400, {{"not_started", true}, {"message", "operation and payload are needed"}});
            return;
        }
        const std::string fault = next_fault();
        if (fault == "not_started" || refuses())
        {
            call.reply(503, {{"not_started", true}, {"leaving", refuses()}, {"message", "not started"}});
            return;
        }
        if (fault == "drop_before")
        {
            call.drop();
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{delay()});
        execute(call, request, fault);
    }
    /// The deadline and the key are checked at the moment of execution, as a careful endpoint does.
    void execute(exchange& call, const nlohmann::json& request, const std::string& fault)
    {
        const std::string key = member_or<std::string>(request, "key", "");
        const auto not_after = member_or<std::int64_t>(request, "not_after_ms", 0);
        if (not_after > 0 && now_ms() > not_after)
        {
            call.reply(503, {{"not_started", true}, {"message", "the send deadline has passed"}});
            return;
        }
        if (!record(request, key))
        {
            call.reply(200, {{"result", {{"done", true}, {"repeated", true}}}});
        }
        else if (fault == "drop_after")
        {
            call.drop();
        }
        else if (fault == "error")
        {
            call.reply(500, {{"message", "the operation failed"}});
        }
        else
        {
            call.reply(
                200, {{"result", {{"done", true}, {"operation", request["operation"]}, {"echo", request["payload"]}}}});
        }
    }
    /// @return false when the key has run before and the service checks keys
    bool record(const nlohmann::json& request, const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        if (checks_keys_ && !key.empty() && !keys_.insert(key).second)
        {
            return false;
        }
        executed_.push_back({request["operation"].get<std::string>(), key, request["payload"].dump(), now_ms()});
        if (executed_.size() > kept_executions)
        {
            executed_.pop_front();
        }
        return true;
    }
    nlohmann::json executed()
    {
        const std::lock_guard lock{mutex_};
        nlohmann::json rows = nlohmann::json::array();
        for (const execution& each : executed_)
        {
            rows.push_back(
                {{"operation", each.operation}, {"key", each.key}, {"payload", each.payload}, {"at_ms", each.at_ms}});
        }
        return {{"count", executed_.size()}, {"executed", rows}};
    }
    nlohmann::json load()
    {
        const std::lock_guard lock{mutex_};
        return {{"as_of_ms", now_ms()}, {"running", 0},
                {"waiting", 0},         {"slots", 16},
                {"memory_used", 0},     {"memory_capacity", 0},
                {"leaving", leaving_},  {"models", nlohmann::json::array()},
                {"role", "plain"},      {"fence", 0}};
    }
    std::string next_fault()
    {
        const std::lock_guard lock{mutex_};
        if (faults_.fault_count <= 0)
        {
            return "";
        }
        --faults_.fault_count;
        return faults_.fault;
    }
    bool refuses()
    {
        const std::lock_guard lock{mutex_};
        return leaving_;
    }
    std::int64_t delay()
    {
        const std::lock_guard lock{mutex_};
        return faults_.delay_ms;
    }
    void administer(exchange& call)
    {
        const nlohmann::json request = call.body();
        const std::string action = member_or<std::string>(request, "action", "");
        if (action == "die")
        {
            std::quick_exit(70);
        }
        if (action == "leave")
        {
            leave();
        }
        else if (action == "faults")
        {
            const std::lock_guard lock{mutex_};
            faults_.delay_ms = member_or<std::int64_t>(request, "delay_ms", faults_.delay_ms);
            faults_.fault = member_or<std::string>(request, "fault", "");
            faults_.fault_count = member_or<std::int64_t>(request, "count", 1);
        }
        else
        {
            call.reply(400, {{"error", "action must be faults, leave or die"}});
            return;
        }
        call.reply(200, {{"done", action}});
    }

    registration self_;
    std::mutex mutex_;
    plain_faults faults_;
    bool checks_keys_;
    long notice_ms_;
    bool leaving_ = false;
    std::set<std::string> keys_;
    std::deque<execution> executed_;
};

} // namespace

int run_plain(int argc, char** argv)
{
    cxxopts::Options options{"standins plain", "A plain service that counts executed orders at GET /executed"};
    add_endpoint_options(options);
    auto add = options.add_options();
    add("delay-ms", "milliseconds that an operation takes", cxxopts::value<std::int64_t>()->default_value("2"));
    add("check-keys", "remember order keys and run each of them once");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    const plain_faults faults{parsed["delay-ms"].as<std::int64_t>(), "", 0};
    auto service = std::make_shared<plain_service>(read_registration(parsed, "plain"), faults,
                                                   parsed["check-keys"].as<bool>(), parsed["leave-ms"].as<long>());
    return serve("plain", parsed["address"].as<std::string>(),
                 {[service](exchange& call) { service->handle(call); },
                  [service](const std::string& address) { service->ready(address); },
                  [service]
                  {
                      service->leave();
                  }});
}

} // namespace parsleyshift::standins
