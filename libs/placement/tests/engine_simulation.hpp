#pragma once

#include <parsleyshift/core/random_source.hpp>          // random_source
#include <parsleyshift/placement/placement_planner.hpp> // placement_planner

#include <algorithm> // find, max
#include <string>    // string, to_string
#include <vector>    // vector

namespace parsleyshift::test_support
{

/// @brief Simulates engines in virtual time that execute the orders of several planners. An engine that is loading or
/// changing its role serves no model.
struct engine_simulation
{
    struct engine
    {
        placement_endpoint properties;
        load_report state;
        time_point busy_until{};
        model_id loading;
        std::string next_role;
        bool honours_fencing = true;
    };

    static member_update member_with_slot(int slot)
    {
        member_update member;
        member.instance = instance_id{"i" + std::to_string(slot)};
        member.entry_slot = slot;
        return member;
    }
    void add_engine(const std::vector<model_id>& models, bool honours_fencing)
    {
        engine added;
        const std::string name = "e" + std::to_string(engines.size());
        added.properties = {endpoint_id{name}, service_id{"s"}, name, region_id{"lagos"}};
        added.state.endpoint = added.properties.endpoint;
        added.state.models = models;
        added.honours_fencing = honours_fencing;
        engines.push_back(added);
    }
    /// Adds a planner that holds an entry slot. Without a membership view it owns all endpoints.
    void add_planner(int slot)
    {
        placement_settings settings;
        settings.order_timeout = duration{60'000};
        settings.max_order_timeout = duration{240'000};
        planners.emplace_back(member_with_slot(slot), settings);
    }
    void configure(const placement_configuration& configuration)
    {
        for (placement_planner& planner : planners)
        {
            planner.set_configuration(configuration, now);
        }
    }
    void list_all_engines()
    {
        for (placement_planner& planner : planners)
        {
            list_engines(planner, [](std::size_t) { return true; });
        }
    }
    template <class Filter>
    void list_engines(placement_planner& planner, const Filter& includes)
    {
        std::vector<placement_endpoint> endpoints;
        for (std::size_t index = 0; index < engines.size(); ++index)
        {
            if (includes(index))
            {
                endpoints.push_back(engines[index].properties);
            }
        }
        planner.set_endpoints(endpoints);
    }
    [[nodiscard]] static bool has_model(const engine& target, const model_id& model)
    {
        const auto& models = target.state.models;
        return std::find(models.begin(), models.end(), model) != models.end();
    }
    /// Number of engines that serve a model at present.
    [[nodiscard]] std::size_t count_serving(const model_id& model) const
    {
        std::size_t count = 0;
        for (const engine& candidate : engines)
        {
            count += has_model(candidate, model) && candidate.busy_until <= now ? 1 : 0;
        }
        return count;
    }
    void execute(placement_planner& planner, const placement_order& order)
    {
        engine& target = engines.at(std::stoul(order.endpoint.value().substr(1)));
        ++orders;
        const bool accepted = !target.honours_fencing || order.fence >= target.state.fence;
        if (accepted)
        {
            if (target.honours_fencing)
            {
                target.state.fence = order.fence;
            }
            apply(target, order);
        }
        planner.handle(placement_answered{order, accepted, target.state.fence}, now);
    }
    void apply(engine& target, const placement_order& order)
    {
        if (order.action == placement_action::load_model)
        {
            loaded_bytes += load_bytes;
            target.loading = order.model;
            target.busy_until = now + load_time;
        }
        else if (order.action == placement_action::set_role)
        {
            target.next_role = order.role;
            target.busy_until = std::max(target.busy_until, now + duration{2'000});
        }
        else if (order.action == placement_action::unload_model)
        {
            std::erase(target.state.models, order.model);
        }
    }
    /// Runs the engines and planners in steps of one second.
    /// @param check_after_second called after each step
    template <class Check>
    void run_for(duration time, const Check& check_after_second)
    {
        for (const time_point end = now + time; now < end; now += duration{1'000})
        {
            for (engine& running : engines)
            {
                const bool finished = !running.loading.empty() && running.busy_until <= now;
                if (finished && !has_model(running, running.loading))
                {
                    running.state.models.push_back(running.loading);
                }
                running.loading = finished ? model_id{} : running.loading;
                running.state.role = running.busy_until <= now ? running.next_role : running.state.role;
            }
            for (placement_planner& planner : planners)
            {
                for (const engine& reporting_engine : engines)
                {
                    // A third of the reports is lost.
                    if (random.fraction() < 0.67)
                    {
                        load_report report = reporting_engine.state;
                        report.models = reporting_engine.busy_until <= now ? report.models : std::vector<model_id>{};
                        planner.handle(report, now);
                    }
                }
                std::vector<send_placement_order> out;
                planner.expire(now + duration{1}, out);
                for (const send_placement_order& sent : out)
                {
                    execute(planner, sent.order);
                }
            }
            check_after_second();
        }
    }

    std::vector<engine> engines;
    std::vector<placement_planner> planners;
    random_source random{41};
    time_point now = at_ms(1'000'000);
    duration load_time{20'000};
    std::int64_t load_bytes = 1'000;
    std::int64_t loaded_bytes = 0;
    std::size_t orders = 0;
};

} // namespace parsleyshift::test_support
