#pragma once

#include <parsleyshift/configuration/configuration_store.hpp> // configuration_store

#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <queue>      // priority_queue
#include <string>     // string, to_string
#include <vector>     // vector

namespace parsleyshift::test_support
{

/// @brief Rejects the body "bad"; supports schema versions up to `schema`.
struct fake_acceptor
{
    int schema = 2;

    record_check_result operator()(const raw_record& record) const
    {
        if (record.schema > schema)
        {
            return {acceptance::unreadable, std::nullopt};
        }
        if (record.body == "bad")
        {
            return {acceptance::rejected, make_error(error_kind::invalid_field, "body")};
        }
        return {};
    }
};

using fake_store = configuration_store<fake_acceptor>;

/// @brief Runs stores against a fake configuration service in simulated time and delivers their messages.
struct store_network
{
    struct node
    {
        std::optional<fake_store> store;
        member_update self;
        /// Incremented by each start and stop, so that events for a former process are dropped.
        std::uint64_t epoch = 0;
        time_point timer_at = never;
        /// Changes and reports of the store since its start.
        configuration_output collected;
    };
    struct scheduled_event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::size_t to = 0;
        std::uint64_t epoch = 0;
        std::function<void()> run;

        bool operator>(const scheduled_event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    struct watch
    {
        std::size_t node = 0;
        std::uint64_t epoch = 0;
        revision after;
        std::uint64_t number = 0;
    };
    using store_action = std::function<void(fake_store&, configuration_output&)>;

    store_network(std::size_t size, std::size_t region_count, std::uint64_t seed)
        : nodes(size), regions(region_count), random(seed)
    {
    }

    /// Starts a store without a membership view; update_views() supplies it.
    void start(std::size_t index, int schema = 2)
    {
        node& started = nodes[index];
        const std::string number = std::to_string(index);
        started.self.instance = instance_id{number};
        started.self.peer_address = number;
        started.self.region = region_id{std::to_string(index % regions)};
        started.self.schema = schema;
        started.self.state = member_state::alive;
        ++started.epoch;
        started.timer_at = never;
        started.collected = {};
        started.store.emplace(started.self, fake_acceptor{schema}, configuration_settings{}, random.bits());
        call(index, [&](fake_store& store, configuration_output& out) { store.expire(now, out); });
    }
    void stop(std::size_t index)
    {
        nodes[index].store.reset();
        ++nodes[index].epoch;
    }
    /// Passes the list of running stores to each of them.
    void update_views()
    {
        std::vector<member_update> members;
        for (const node& member : nodes)
        {
            if (member.store)
            {
                members.push_back(member.self);
            }
        }
        for (std::size_t index = 0; index < nodes.size(); ++index)
        {
            set_view(index, members);
        }
    }
    void set_view(std::size_t index, const std::vector<member_update>& members)
    {
        if (nodes[index].store)
        {
            call(index,
                 [&](fake_store& store, configuration_output& out) { store.update_members(members, true, now, out); });
        }
    }
    /// Writes a record to the service, which answers all pending watches.
    void write(raw_record record)
    {
        highest = highest.next();
        record.changed = highest;
        std::erase_if(records,
                      [&](const raw_record& old) { return old.kind == record.kind && old.name == record.name; });
        records.push_back(std::move(record));
        const std::vector<watch> answered = std::move(watches);
        watches.clear();
        for (const watch& pending : answered)
        {
            answer(pending);
        }
    }
    void answer(const watch& pending)
    {
        configuration_received received{highest, {}, pending.after == revision{}};
        for (const raw_record& record : records)
        {
            if (record.changed > pending.after)
            {
                received.records.push_back(record);
            }
        }
        const auto deliver = [this, node = pending.node, received]
        {
            call(node, [&](fake_store& store, configuration_output& out) { store.handle(received, now, out); });
        };
        queue.push({now + duration{3}, sequence++, pending.node, pending.epoch, deliver});
    }
    void read(std::size_t index, const read_configuration& action)
    {
        ++calls;
        const watch pending{index, nodes[index].epoch, action.after, calls};
        if (!service_up || index % regions == region_without_service)
        {
            const auto fail = [this, index]
            {
                call(index, [&](fake_store& store, configuration_output& out)
                     { store.handle(configuration_unavailable{}, now, out); });
            };
            queue.push({now + duration{3}, sequence++, index, pending.epoch, fail});
            return;
        }
        if (action.wait == duration{} || highest > action.after)
        {
            answer(pending);
            return;
        }
        watches.push_back(pending);
        const auto expire = [this, pending]
        {
            const auto same = [&](const watch& other)
            {
                return other.number == pending.number;
            };
            if (std::erase_if(watches, same) > 0)
            {
                answer(pending);
            }
        };
        queue.push({now + action.wait, sequence++, index, pending.epoch, expire});
    }
    void call(std::size_t index, const store_action& action)
    {
        node& called = nodes[index];
        configuration_output out;
        action(*called.store, out);
        for (send_to_peer& sent : out.messages)
        {
            const std::size_t to = std::stoul(sent.peer_address);
            std::size_t bytes = 0;
            if (const auto* carried = std::get_if<configuration_records>(&sent.message))
            {
                for (const shared_record& shared : carried->records)
                {
                    bytes += estimated_bytes(shared.record);
                }
                max_records_in_large_message = bytes > 300'000
                                                   ? std::max(max_records_in_large_message, carried->records.size())
                                                   : max_records_in_large_message;
            }
            record_bytes += bytes;
            if (random.fraction() < loss)
            {
                continue;
            }
            auto envelope = std::make_shared<const peer_envelope>(
                peer_envelope{called.self.instance, incarnation{1}, called.self.peer_address, called.store->highest(),
                              std::move(sent.message)});
            const auto deliver = [this, to, envelope]
            {
                call(to,
                     [&](fake_store& store, configuration_output& output) { store.handle(*envelope, now, output); });
            };
            const duration delay{called.self.region == nodes[to].self.region ? 1 : 30};
            queue.push({now + delay, sequence++, to, nodes[to].epoch, deliver});
        }
        for (const read_configuration& read_action : out.reads)
        {
            read(index, read_action);
        }
        auto& collected = called.collected;
        collected.changes.insert(collected.changes.end(), out.changes.begin(), out.changes.end());
        collected.rejected.insert(collected.rejected.end(), out.rejected.begin(), out.rejected.end());
        collected.unreadable.insert(collected.unreadable.end(), out.unreadable.begin(), out.unreadable.end());
        schedule(index);
    }
    void schedule(std::size_t index)
    {
        node& called = nodes[index];
        const time_point deadline = std::max(now, called.store->next_deadline());
        if (deadline >= called.timer_at)
        {
            return;
        }
        called.timer_at = deadline;
        const auto expire = [this, index]
        {
            nodes[index].timer_at = never;
            call(index, [&](fake_store& store, configuration_output& out) { store.expire(now, out); });
        };
        queue.push({deadline, sequence++, index, called.epoch, expire});
    }
    void run_for(duration time)
    {
        const time_point end = now + time;
        while (!queue.empty() && queue.top().at <= end)
        {
            const scheduled_event next = queue.top();
            queue.pop();
            now = next.at;
            if (nodes[next.to].store && nodes[next.to].epoch == next.epoch)
            {
                next.run();
            }
        }
        now = end;
    }
    /// Body of the record in force at a node; empty without one.
    [[nodiscard]] std::string body(std::size_t index, const std::string& name) const
    {
        const raw_record* record = nodes[index].store->find("customer", name);
        return record == nullptr ? std::string{} : record->body;
    }

    std::vector<node> nodes;
    std::size_t regions;
    random_source random;
    time_point now = at_ms(1'000'000);
    double loss = 0.0;
    bool service_up = true;
    /// Region whose instances cannot reach the service.
    std::size_t region_without_service = 99;
    revision highest;
    std::vector<raw_record> records;
    std::vector<watch> watches;
    std::uint64_t calls = 0;
    std::uint64_t record_bytes = 0;
    /// Largest number of records in one message above 300 KB.
    std::size_t max_records_in_large_message = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> queue;
    std::uint64_t sequence = 0;
};

} // namespace parsleyshift::test_support
