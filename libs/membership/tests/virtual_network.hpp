#pragma once

#include <parsleyshift/membership/membership.hpp> // membership

#include <algorithm>  // max, min
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <queue>      // priority_queue
#include <string>     // string, to_string
#include <vector>     // vector

namespace parsleyshift::test_support
{

/// @brief Runs memberships in simulated time and delivers their messages; the nodes are distributed over three regions.
struct virtual_network
{
    struct node
    {
        std::optional<membership> view;
        /// Incremented by each start and stop, so that timers and messages for a former process are dropped.
        std::uint64_t epoch = 0;
        time_point paused_until{};
        time_point timer_at = never;
    };
    struct scheduled_event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::size_t to = 0;
        std::uint64_t epoch = 0;
        std::shared_ptr<const peer_envelope> envelope;

        bool operator>(const scheduled_event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    using view_action = std::function<void(membership&, membership_output&)>;

    virtual_network(std::size_t size, std::uint64_t seed) : nodes(size), random(seed) {}

    static member_update describe(std::size_t index, std::uint64_t started = 1)
    {
        const std::string number = std::to_string(index);
        const std::string region_number = std::to_string(index % 3);
        return {instance_id{number},    incarnation{started},     member_state::alive,    0, number, number,
                zone_id{region_number}, region_id{region_number}, static_cast<int>(index)};
    }
    static listed_instance listed(std::size_t index)
    {
        const member_update member = describe(index);
        return {member.instance.value(), instance_role::entry,     {},           member.address,
                member.peer_address,     member.availability_zone, member.region};
    }
    void start(std::size_t index, const std::vector<listed_instance>& list, std::uint64_t started = 1)
    {
        stop(index);
        nodes[index].view.emplace(describe(index, started), membership_settings{}, random.bits());
        nodes[index].timer_at = never;
        call(index, [&](membership& view, membership_output& out) { view.handle_list(list, now, out); });
    }
    void stop(std::size_t index)
    {
        nodes[index].view.reset();
        ++nodes[index].epoch;
    }
    void call(std::size_t index, const view_action& action)
    {
        node& called = nodes[index];
        membership_output out;
        action(*called.view, out);
        const member_update& self = called.view->self();
        for (send_to_peer& sent : out.messages)
        {
            const std::size_t to = std::stoul(sent.peer_address);
            if (!(is_cut && is_cut(index, to)) && random.fraction() >= loss)
            {
                const peer_envelope envelope{self.instance, self.started, self.peer_address, {}, sent.message};
                queue.push({now + duration{index % 3 == to % 3 ? 1 : 30}, sequence++, to, nodes[to].epoch,
                            std::make_shared<const peer_envelope>(envelope)});
            }
        }
        const time_point deadline = std::max(now, called.view->next_deadline());
        if (deadline < called.timer_at)
        {
            called.timer_at = deadline;
            queue.push({deadline, sequence++, index, called.epoch, nullptr});
        }
    }
    void deliver(scheduled_event next)
    {
        node& receiver = nodes[next.to];
        if (!receiver.view || receiver.epoch != next.epoch)
        {
            return;
        }
        if (receiver.paused_until > now)
        {
            next.at = receiver.paused_until;
            queue.push(next);
            return;
        }
        receiver.timer_at = next.envelope ? receiver.timer_at : never;
        call(next.to, [&](membership& view, membership_output& out)
             { next.envelope ? view.handle(*next.envelope, now, out) : view.expire(now, out); });
    }
    /// @brief Advances the simulated time.
    /// @param each_step called every 100 ms of simulated time; may be empty
    void run_for(duration time, const std::function<void()>& each_step = {})
    {
        for (const time_point end = now + time; now < end;)
        {
            const time_point step = std::min(end, now + duration{100});
            while (!queue.empty() && queue.top().at <= step)
            {
                const scheduled_event next = queue.top();
                queue.pop();
                now = next.at;
                deliver(next);
            }
            now = step;
            each_step ? each_step() : void();
        }
    }

    std::vector<node> nodes;
    random_source random;
    time_point now = at_ms(1'000'000);
    /// True when messages from the first to the second node are lost; may be empty.
    std::function<bool(std::size_t, std::size_t)> is_cut;
    /// Fraction of the messages that are lost at random.
    double loss = 0.0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> queue;
    std::uint64_t sequence = 0;
};

} // namespace parsleyshift::test_support
