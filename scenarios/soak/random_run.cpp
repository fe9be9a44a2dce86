#include "random_run.hpp" // random_run

#include <parsleyshift/core/random_source.hpp> // random_source

#include <nlohmann/json.hpp> // json

#include <map>     // map
#include <set>     // set
#include <utility> // pair

namespace parsleyshift::scenarios
{
namespace
{

/// Time after the last fault within which everything must have ended and converged.
constexpr duration settling_time{120'000};
/// Bound of guarantee P7.
constexpr duration configuration_bound{9'000};
constexpr int endpoints_per_service = 4;

/// A request that is still expected to end, because nothing has separated its caller from its instance.
struct open_request
{
    std::uint64_t id;
    std::string instance;
};

struct placed_order
{
    std::uint64_t id;
    order_request asked;
};

/// @brief One random run: the schedule, and the checks that need to look while it runs.
class schedule
{
  public:
    schedule(std::uint64_t seed, int steps) : random_(seed), fleet_(seed), steps_(steps)
    {
        build();
    }

    run_report run()
    {
        fleet_.run(duration{15'000});
        for (int step = 0; step < steps_; ++step)
        {
            act();
            fleet_.run(duration{static_cast<std::int64_t>(1 + random_.index(600))});
            check_revisions();
        }
        end_faults();
        fleet_.run(configuration_bound);
        check_configuration();
        fleet_.run(settling_time);
        check_ends();
        check_configuration();
        for (auto& line : broken_promises(fleet_.seen()))
        {
            report_.broken.push_back(std::move(line));
        }
        count();
        return report_;
    }

  private:
    void build()
    {
        fleet_.links.loss = 0.05;
        fleet_.links.duplication = 0.05;
        fleet_.links.jitter = duration{20};
        fleet_.write_record("fleet", "fleet", 1, R"({"entry_slots": 5, "shard_size": 3})");
        fleet_.write_record("priority", "long", 2, R"({"level": 0, "lane": "shared"})");
        fleet_.write_record("priority", "short", 1, R"({"level": 5, "reserved": true, "hedged": true})");
        fleet_.write_record("customer", "club", 1, R"({"weight": 1})");
        fleet_.write_record("service", "narrator", 1, R"({"kind": "engine", "default_class": "long", "models": []})");
        write_plain("desk", false);
        write_plain("keyed", true);
        const std::vector<std::pair<std::string, std::string>> zones{
            {"kiskunsag", "alfold"}, {"hortobagy", "alfold"}, {"zirc", "bakony"}};
        for (int slot = 0; slot < 5; ++slot)
        {
            const auto& [zone, region] = zones[static_cast<std::size_t>(slot) % zones.size()];
            fleet_.add_instance({"n" + std::to_string(slot), zone, region, slot});
        }
        for (int number = 0; number < endpoints_per_service; ++number)
        {
            const auto& [zone, region] = zones[static_cast<std::size_t>(number) % zones.size()];
            const std::string suffix = std::to_string(number);
            fleet_.add_endpoint({"e" + suffix, "narrator", zone, region, true});
            fleet_.add_endpoint({"d" + suffix, "desk", zone, region, false});
        }
        // A service whose endpoints check keys keeps them together, as one endpoint.
        endpoint_settings keyed{"k0", "keyed", "kiskunsag", "alfold", false};
        keyed.checks_keys = true;
        fleet_.add_endpoint(keyed);
    }

    void write_plain(const std::string& name, bool checks_keys)
    {
        fleet_.write_record("service", name, 1,
                            std::string{R"({"kind": "plain", "default_class": "short", "checks_keys": )"} +
                                (checks_keys ? "true" : "false") +
                                R"(, "operations": [{"name": "open", "idempotent": false}, {"name": "read"}]})");
    }

    void act()
    {
        switch (random_.index(16))
        {
        case 0:
        case 1:
        case 2:
            generate();
            break;
        case 3:
            call();
            break;
        case 4:
        case 5:
            order();
            break;
        case 6:
        case 7:
            resend();
            break;
        case 8:
            resume();
            break;
        case 9:
            write();
            break;
        default:
            fault();
            break;
        }
    }

    void generate()
    {
        const std::string instance = any_instance();
        if (instance.empty())
        {
            return;
        }
        generation_request asked;
        asked.customer = customer_id{"club"};
        asked.service = service_id{"narrator"};
        const bool crash = random_.fraction() < 0.05;
        asked.prompt =
            (crash ? "crash" : "report") + std::to_string(++names_) + "*" + std::to_string(1 + random_.index(150));
        asked.delivery_mode = random_.fraction() < 0.3 ? delivery::whole : delivery::stream;
        const auto id = fleet_.generate(instance, asked);
        if (asked.delivery_mode == delivery::stream)
        {
            streams_.push_back({id, instance});
        }
        open_.push_back({id, instance});
        ++report_.generations;
    }

    void call()
    {
        const std::string instance = any_instance();
        if (instance.empty())
        {
            return;
        }
        call_request asked;
        asked.customer = customer_id{"club"};
        asked.service = service_id{"desk"};
        asked.operation = "read";
        asked.payload = "\"reading " + std::to_string(++names_) + "\"";
        open_.push_back({fleet_.call(instance, asked), instance});
        ++report_.calls;
    }

    void order()
    {
        const std::string instance = any_instance();
        if (instance.empty())
        {
            return;
        }
        const std::string service = random_.fraction() < 0.3 ? "keyed" : "desk";
        const auto minted = fleet_.mint(instance, "club", service);
        const auto& answer = fleet_.caller(minted);
        if (answer.end != outcome::completed)
        {
            return;
        }
        order_request asked;
        asked.customer = customer_id{"club"};
        asked.service = service_id{service};
        asked.operation = "open";
        asked.payload = "\"sluice " + std::to_string(++names_) + "\"";
        asked.key = answer.result;
        place(asked);
    }

    void place(const order_request& asked)
    {
        const std::string instance = any_instance();
        if (instance.empty())
        {
            return;
        }
        const auto id = fleet_.order(instance, asked);
        orders_.push_back({id, asked});
        open_.push_back({id, instance});
        ++report_.orders;
    }

    void resend()
    {
        if (!orders_.empty())
        {
            place(orders_[random_.index(orders_.size())].asked);
        }
    }

    void resume()
    {
        const std::string instance = any_instance();
        if (streams_.empty() || instance.empty())
        {
            return;
        }
        open_request& stream = streams_[random_.index(streams_.size())];
        const auto& seen = fleet_.caller(stream.id);
        if (!seen.continuation.empty() && seen.end != outcome::completed)
        {
            fleet_.resume(stream.id, instance);
            stream.instance = instance;
            moved_.insert(stream.id);
        }
    }

    void write()
    {
        const std::string level = std::to_string(random_.index(10));
        switch (random_.index(4))
        {
        case 0:
            fleet_.write_record("priority", "extra", 2, R"({"level": )" + level + R"(, "lane": "shared"})");
            break;
        case 1:
            fleet_.write_record("customer", "other", 2, R"({"weight": 2})");
            break;
        case 2:
            fleet_.withdraw_record("priority", "extra");
            break;
        default:
            // A bad write over a good record: the good one stays in force.
            fleet_.write_record("customer", "club", 1, R"({"weight": "heavy"})");
            club_is_bad_ = true;
            break;
        }
    }

    void fault()
    {
        ++report_.faults;
        const std::string instance = any_instance();
        const auto endpoints = fleet_.endpoints();
        const std::string& endpoint = endpoints[random_.index(endpoints.size())];
        switch (random_.index(12))
        {
        case 0:
            if (!instance.empty() && down_.size() < 2)
            {
                fleet_.kill(instance);
                down_.insert(instance);
                paused_.erase(instance);
                separate(instance);
            }
            break;
        case 1:
            restart_one();
            break;
        case 2:
            if (!instance.empty() && paused_.size() < 2)
            {
                fleet_.pause(instance);
                paused_.insert(instance);
            }
            break;
        case 3:
        case 4:
            wake_one();
            break;
        case 5:
            fleet_.cut(any_name(instance), any_name(endpoint));
            break;
        case 6:
            fleet_.cut(any_name(endpoint), any_name(instance));
            break;
        case 7:
            fleet_.heal();
            break;
        case 8:
            fleet_.kill(endpoint);
            break;
        case 9:
            fleet_.restart(endpoint);
            break;
        case 10:
            fleet_.set_stale_configuration(random_.fraction() < 0.5);
            break;
        default:
            fleet_.slow_down(endpoint, 1 + static_cast<int>(random_.index(20)));
            break;
        }
    }

    std::string any_instance()
    {
        const auto names = fleet_.instances();
        const std::string& name = names[random_.index(names.size())];
        return down_.contains(name) ? std::string{} : name;
    }
    /// The given name or one of the others, so that links of all kinds are cut.
    std::string any_name(const std::string& usual)
    {
        const auto names = fleet_.instances();
        const double choice = random_.fraction();
        if (choice < 0.4 || usual.empty())
        {
            return names[random_.index(names.size())];
        }
        return choice < 0.5 ? "configuration" : usual;
    }
    void restart_one()
    {
        if (!down_.empty())
        {
            fleet_.restart(*down_.begin());
            revisions_.erase(*down_.begin());
            down_.erase(down_.begin());
        }
    }
    void wake_one()
    {
        if (!paused_.empty())
        {
            fleet_.wake(*paused_.begin());
            paused_.erase(paused_.begin());
        }
    }
    /// Requests at an instance that died do not get an answer from it.
    void separate(const std::string& instance)
    {
        std::erase_if(open_, [&](const open_request& open) { return open.instance == instance; });
    }

    void end_faults()
    {
        while (!down_.empty())
        {
            restart_one();
        }
        while (!paused_.empty())
        {
            wake_one();
        }
        fleet_.heal();
        fleet_.set_stale_configuration(false);
        fleet_.links.loss = 0.0;
        for (const auto& endpoint : fleet_.endpoints())
        {
            fleet_.restart(endpoint);
            fleet_.slow_down(endpoint, 1);
        }
    }

    /// No record in force on an instance may go back to an older revision within one process.
    void check_revisions()
    {
        for (const auto& instance : fleet_.instances())
        {
            if (down_.contains(instance) || paused_.contains(instance))
            {
                continue;
            }
            auto& known = revisions_[instance];
            const auto view = nlohmann::json::parse(fleet_.records_of(instance));
            for (const auto& record : view.at("records"))
            {
                const std::string name =
                    record.at("kind").get<std::string>() + "/" + record.at("name").get<std::string>();
                const auto revision = record.at("revision").get<std::uint64_t>();
                if (revision < known[name])
                {
                    report_.broken.push_back(instance + ": " + name + " went back from revision " +
                                             std::to_string(known[name]) + " to " + std::to_string(revision));
                }
                known[name] = revision;
            }
        }
    }

    std::string records_in_force(const std::string& instance)
    {
        return nlohmann::json::parse(fleet_.records_of(instance)).at("records").dump();
    }

    void check_configuration()
    {
        const std::string expected = records_in_force("n0");
        for (const auto& instance : fleet_.instances())
        {
            if (records_in_force(instance) != expected)
            {
                report_.broken.push_back(instance + ": configuration differs from that of n0");
            }
        }
        if (!club_is_bad_ && !fleet_.in_force("n0", "customer", "club"))
        {
            report_.broken.push_back("n0: customer/club is not in force");
        }
        if (expected.find("\"name\":\"narrator\"") == std::string::npos)
        {
            report_.broken.push_back("n0: service/narrator is not in force");
        }
    }

    void check_ends()
    {
        for (const auto& open : open_)
        {
            if (!fleet_.caller(open.id).end && !moved_.contains(open.id))
            {
                report_.broken.push_back("request " + std::to_string(open.id) + " (" + fleet_.caller(open.id).what +
                                         ") at " + open.instance + " never ended");
            }
        }
    }

    void count()
    {
        for (const auto& [id, request] : fleet_.seen().callers)
        {
            report_.completed += request.end == outcome::completed ? 1 : 0;
        }
        for (const auto& order : orders_)
        {
            report_.unknown_orders += fleet_.caller(order.id).end == outcome::unknown ? 1 : 0;
        }
    }

    random_source random_;
    fake_fleet fleet_;
    int steps_;
    int names_ = 0;
    bool club_is_bad_ = false;
    std::vector<open_request> open_;
    std::vector<open_request> streams_;
    std::vector<placed_order> orders_;
    /// Streams that were resumed; the newest connection decides about their end.
    std::set<std::uint64_t> moved_;
    std::set<std::string> down_;
    std::set<std::string> paused_;
    std::map<std::string, std::map<std::string, std::uint64_t>> revisions_;
    run_report report_;
};

} // namespace

run_report random_run(std::uint64_t seed, int steps)
{
    return schedule{seed, steps}.run();
}

} // namespace parsleyshift::scenarios
