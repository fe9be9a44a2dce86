// Measures the costs from which docs/CAPACITY.md is worked out: processor time, memory and bytes per unit of work, each
// at two sizes, so that the slope shows.

#include <parsleyshift/configuration/configuration_store.hpp> // configuration_store
#include <parsleyshift/decision_core/decision_core.hpp>       // decision_core
#include <parsleyshift/entry/entry_selector.hpp>              // entry_selector
#include <parsleyshift/limits/customer_limits.hpp>            // customer_limits
#include <parsleyshift/membership/membership.hpp>             // membership
#include <parsleyshift/routing/endpoint_directory.hpp>        // endpoint_directory
#include <parsleyshift/wire/peer_codec.hpp>                   // encode

#include <nlohmann/json.hpp> // json

#include <malloc.h> // mallinfo2

#include <chrono>     // steady_clock
#include <cstdio>     // printf
#include <functional> // function
#include <iostream>   // cerr
#include <string>     // string
#include <vector>     // vector

namespace
{

using namespace parsleyshift;

constexpr std::size_t small_fleet = 64;
constexpr std::size_t large_fleet = 1'600;

nlohmann::json results = nlohmann::json::array();

void report(const std::string& what, std::size_t size, double value, const std::string& unit)
{
    std::printf("%-58s %8zu %12.3f %s\n", what.c_str(), size, value, unit.c_str());
    results.push_back({{"what", what}, {"size", size}, {"value", value}, {"unit", unit}});
}

/// Microseconds that a step takes on average.
double time_of(std::size_t repeats, const std::function<void(std::size_t)>& step)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < repeats; ++number)
    {
        step(number);
    }
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / static_cast<double>(repeats);
}

std::size_t memory_in_use()
{
    return mallinfo2().uordblks;
}

member_update member(std::size_t number)
{
    member_update update;
    update.instance = instance_id{"instance-" + std::to_string(number)};
    update.started = incarnation{1'700'000'000'000};
    update.peer_address = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7000";
    update.address = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8000";
    update.availability_zone = zone_id{"zone-" + std::to_string(number % 28)};
    update.region = region_id{"region-" + std::to_string(number % 11)};
    update.entry_slot = static_cast<int>(number);
    return update;
}

std::vector<member_update> fleet_of(std::size_t size)
{
    std::vector<member_update> fleet;
    for (std::size_t number = 0; number < size; ++number)
    {
        fleet.push_back(member(number));
    }
    return fleet;
}

peer_envelope envelope_from(const member_update& sender, peer_message message)
{
    return {sender.instance, sender.started, sender.peer_address, revision{1}, std::move(message)};
}

void measure_membership(std::size_t size)
{
    const auto fleet = fleet_of(size);
    const std::size_t before = memory_in_use();
    membership view(fleet.front(), membership_settings{}, 1);
    membership_output out;
    time_point now = at_ms(1'000'000);
    for (std::size_t first = 1; first < size; first += 64)
    {
        member_updates page;
        page.updates.assign(fleet.begin() + static_cast<std::ptrdiff_t>(first),
                            fleet.begin() + static_cast<std::ptrdiff_t>(std::min(size, first + 64)));
        view.handle(envelope_from(fleet[1], page), now, out);
    }
    report("membership: memory per member", size,
           static_cast<double>(memory_in_use() - before) / static_cast<double>(size), "bytes");
    std::size_t messages = 0;
    std::size_t bytes = 0;
    const auto second = [&](std::size_t)
    {
        const time_point end = now + duration{1'000};
        while (now < end)
        {
            now = std::min(end, std::max(now + duration{1}, view.next_deadline()));
            out.messages.clear();
            out.changes.clear();
            view.expire(now, out);
            for (const auto& sent : out.messages)
            {
                ++messages;
                bytes += encode(envelope_from(fleet.front(), sent.message)).size();
                if (const auto* asked = std::get_if<probe>(&sent.message))
                {
                    membership_output answer;
                    const member_update& target = *view.find(sent.to);
                    view.handle(envelope_from(target, probe_ack{asked->sequence, sent.to, {}}), now, answer);
                }
            }
        }
    };
    constexpr std::size_t seconds = 200;
    report("membership: processor time per second of steady probing", size, time_of(seconds, second), "us");
    report("membership: messages sent per second, own probes", size, static_cast<double>(messages) / seconds, "");
    report("membership: bytes sent per second, own probes", size, static_cast<double>(bytes) / seconds, "bytes");
}

struct accept_all
{
    record_check_result operator()(const raw_record& /*record*/) const
    {
        return {};
    }
};

void measure_configuration(std::size_t records)
{
    configuration_received answer;
    answer.complete = true;
    for (std::size_t number = 0; number < records; ++number)
    {
        answer.highest_revision = revision{number + 1};
        answer.records.push_back({"customer", "customer-" + std::to_string(number), answer.highest_revision, 2, false,
                                  R"({"weight": 1, "limit": {"rate": 20000, "burst": 60000}})"});
    }
    const std::size_t before = memory_in_use();
    configuration_store<accept_all> store(member(0), accept_all{}, configuration_settings{}, 1);
    configuration_output out;
    const time_point now = at_ms(1'000'000);
    const double whole = time_of(1, [&](std::size_t) { store.handle(answer, now, out); });
    out = {};
    report("configuration: first load, per record", records, whole / static_cast<double>(records), "us");
    report("configuration: memory per record", records,
           static_cast<double>(memory_in_use() - before) / static_cast<double>(records), "bytes");
    const auto change = [&](std::size_t number)
    {
        configuration_received one;
        one.highest_revision = revision{records + number + 1};
        one.records.push_back(
            {"customer", "customer-" + std::to_string(number % records), one.highest_revision, 2, false, "{}"});
        configuration_output ignored;
        store.handle(one, now + duration{static_cast<std::int64_t>(number)}, ignored);
    };
    report("configuration: one change accepted", records, time_of(2'000, change), "us");
    configuration_digest digest;
    digest.highest_revision = answer.highest_revision;
    report("configuration: bytes of one digest", records,
           static_cast<double>(encode(envelope_from(member(0), digest)).size()), "bytes");
}

void measure_entry(std::size_t size)
{
    entry_selector selector(member(0));
    fleet_record fleet;
    fleet.entry_slots = static_cast<int>(size);
    fleet.shard_size = 4;
    selector.configure(fleet);
    selector.replace(fleet_of(size));
    random_source random(1);
    const auto query = [&](std::size_t number)
    {
        static_cast<void>(
            selector.select(customer_id{"customer-" + std::to_string(number % 8'200)}, zone_id{"zone-3"}, random));
    };
    report("entry: one answer", size, time_of(20'000, query), "us");
}

void measure_limits(std::size_t customers)
{
    const std::size_t before = memory_in_use();
    customer_limits limits(incarnation{1}, 1);
    const time_point start = at_ms(1'000'000);
    for (std::size_t number = 0; number < customers; ++number)
    {
        limits.set_share(customer_id{"customer-" + std::to_string(number)}, {20'000, 60'000, 4, true}, start);
    }
    report("limits: memory per customer", customers,
           static_cast<double>(memory_in_use() - before) / static_cast<double>(customers), "bytes");
    const auto admit = [&](std::size_t number)
    {
        const auto charge = limits.admit(customer_id{"customer-" + std::to_string(number % customers)}, 10,
                                         start + duration{static_cast<std::int64_t>(number)});
        if (charge.has_value())
        {
            limits.settle(charge.value(), 12, start + duration{static_cast<std::int64_t>(number)});
        }
    };
    report("limits: admit and settle", customers, time_of(200'000, admit), "us");
}

listed_instance engine(std::size_t number, std::size_t services)
{
    listed_instance row;
    row.id = "engine-" + std::to_string(number);
    row.role = instance_role::engine;
    row.service = service_id{"service-" + std::to_string(number % services)};
    row.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":9000";
    row.availability_zone = zone_id{"zone-" + std::to_string(number % 28)};
    row.region = region_id{"region-" + std::to_string(number % 11)};
    return row;
}

void measure_directory(std::size_t engines)
{
    instances_listed list;
    for (std::size_t number = 0; number < engines; ++number)
    {
        list.instances.push_back(engine(number, 14));
    }
    const std::size_t before = memory_in_use();
    endpoint_directory directory;
    directory.handle_list(list);
    report("directory: memory per endpoint", engines,
           static_cast<double>(memory_in_use() - before) / static_cast<double>(engines), "bytes");
    const auto again = [&](std::size_t number)
    {
        list.as_of = at_ms(static_cast<std::int64_t>(number) + 1);
        directory.handle_list(list);
    };
    report("directory: unchanged list read", engines, time_of(20, again), "us");
}

/// A core with one pool of engines whose generations the measurement itself answers.
class core_bench
{
  public:
    explicit core_bench(std::size_t engines) : core_(make_core())
    {
        configuration_received records;
        records.complete = true;
        records.highest_revision = revision{4};
        records.records = {{"priority", "long", revision{1}, 2, false, R"({"level": 0, "lane": "shared"})"},
                           {"customer", "club", revision{2}, 1, false, R"({"weight": 1})"},
                           {"service", "writers", revision{3}, 1, false,
                            R"({"kind": "engine", "default_class": "long", "models": []})"},
                           {"fleet", "fleet", revision{4}, 1, false, R"({"entry_slots": 8, "shard_size": 3})"}};
        feed(timer_expired{});
        feed(records);
        instances_listed list;
        list.as_of = now_;
        for (std::size_t number = 0; number < engines; ++number)
        {
            listed_instance row = engine(number, 1);
            row.service = service_id{"writers"};
            row.region = region_id{"region-0"};
            list.instances.push_back(row);
        }
        feed(list);
        for (int pass = 0; pass < 20; ++pass)
        {
            for (std::size_t number = 0; number < engines; ++number)
            {
                load_report load;
                load.endpoint = endpoint_id{"engine-" + std::to_string(number)};
                load.as_of = now_;
                load.slots = 4'000;
                load.memory_capacity = 1'000'000'000;
                feed(load_reported{load});
            }
            now_ += duration{500};
            feed(timer_expired{});
        }
    }

    void measure(std::size_t streams)
    {
        const std::size_t before = memory_in_use();
        std::vector<attempt_id> attempts;
        const auto begin = [&](std::size_t number)
        {
            generation_request asked;
            asked.request = request_id{number + 1};
            asked.customer = customer_id{"club"};
            asked.service = service_id{"writers"};
            asked.prompt = "prompt " + std::to_string(number);
            asked.max_tokens = 4'000;
            feed(asked);
            for (const auto& wanted : actions_)
            {
                if (const auto* started = std::get_if<start_generation>(&wanted))
                {
                    attempts.push_back(started->attempt);
                }
                if (const auto* rejected = std::get_if<request_rejected>(&wanted))
                {
                    why_ = rejected->why.message();
                }
            }
        };
        report("core: one generation admitted and started", streams, time_of(streams, begin), "us");
        if (attempts.size() < streams)
        {
            std::cerr << "only " << attempts.size() << " of " << streams << " generations were started: " << why_
                      << '\n';
        }
        const auto token = [&](std::size_t number)
        {
            const std::size_t stream = number % attempts.size();
            feed(attempt_tokens{attempts[stream], static_cast<std::int64_t>(number / attempts.size()), {"word "}});
        };
        report("core: one token of one stream", streams, time_of(attempts.size() * 20, token), "us");
        report("core: memory per open stream", streams,
               static_cast<double>(memory_in_use() - before) / static_cast<double>(streams), "bytes");
        const auto end = [&](std::size_t number)
        {
            feed(attempt_ended{attempts[number], 20});
        };
        report("core: one generation ended", streams, time_of(attempts.size(), end), "us");
    }

  private:
    static decision_core make_core()
    {
        core_settings settings;
        settings.self = member(0);
        settings.self.region = region_id{"region-0"};
        settings.token_keys = {{"k1", "a secret of at least thirty-two bytes"}};
        settings.requests.capacity = 100'000;
        return decision_core::make(settings).value();
    }
    void feed(const event& what)
    {
        actions_.clear();
        core_.handle(what, now_, actions_);
    }

    decision_core core_;
    time_point now_ = at_ms(1'000'000);
    std::vector<action> actions_;
    /// Last rejection, for the report.
    std::string why_;
};

void measure_messages()
{
    work_description work;
    work.customer = customer_id{"customer-1234"};
    work.service = service_id{"service-12"};
    work.work_class = class_id{"long"};
    work.prefixes.assign(8, 0x0123456789abcdefULL);
    const auto size_of = [](const char* what, peer_message message)
    {
        report(what, 1, static_cast<double>(encode(envelope_from(member(1), std::move(message))).size()), "bytes");
    };
    size_of("wire: permit request", permit_request{pool_id{"service-12/region-3"}, work});
    size_of("wire: permit grant",
            permit_grant{request_id{1}, permit_id{2}, endpoint_id{"engine-1"}, 0, 4'000, at_ms(1)});
    size_of("wire: permit registration", permit_registration{pool_id{"service-12/region-3"}, permit_id{2},
                                                             endpoint_id{"engine-1"}, work, 100, 0, duration{}});
    size_of("wire: permit return", permit_return{pool_id{"service-12/region-3"}, permit_id{2}, endpoint_id{"engine-1"},
                                                 work.customer, work.work_class, 400, true});
    probe full;
    full.updates = fleet_of(8);
    size_of("wire: probe with 8 updates", full);
    size_of("wire: probe without updates", probe{});
}

} // namespace

int main(int argc, char** argv)
{
    for (const std::size_t size : {small_fleet, large_fleet})
    {
        measure_membership(size);
        measure_entry(size);
    }
    for (const std::size_t records : {std::size_t{100}, std::size_t{8'300}})
    {
        measure_configuration(records);
        measure_limits(records);
    }
    for (const std::size_t engines : {std::size_t{120}, std::size_t{12'000}})
    {
        measure_directory(engines);
    }
    for (const std::size_t streams : {std::size_t{100}, std::size_t{1'000}})
    {
        core_bench{12}.measure(streams);
    }
    core_bench{80}.measure(1'000);
    measure_messages();
    if (argc > 1)
    {
        FILE* file = std::fopen(argv[1], "w");
        if (file == nullptr)
        {
            std::cerr << argv[1] << ": cannot be written\n";
            return 1;
        }
        std::fputs(results.dump(4).c_str(), file);
        std::fclose(file);
    }
    return 0;
}
