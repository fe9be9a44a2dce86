#pragma once

#include <parsleyshift/scheduling/pool_scheduler.hpp> // pool_scheduler

#include <algorithm> // max
#include <cstdint>   // int64_t
#include <map>       // map
#include <set>       // set
#include <string>    // to_string
#include <utility>   // move
#include <vector>    // vector

namespace parsleyshift::test
{

/// Runs a pool scheduler in virtual time against simulated engines that produce one token per stream every 10 ms.
///
/// The classes are "plan" (long requests), "check" (short requests of the reserved lane) and "urgent" (short requests
/// of the shared lane). The levels of the last two are 2 above that of "plan". Each class has a queue limit of 100
/// requests and a default timeout of 60 s.
class scheduler_harness
{
  public:
    /// Memory of each engine in tokens.
    static constexpr std::int64_t memory = 4'000;
    /// Slots of each engine.
    static constexpr std::int64_t slots = 12;
    /// Prompt of each request in tokens.
    static constexpr std::int64_t prompt = 50;

    explicit scheduler_harness(std::size_t endpoints) : scheduler_(make_scheduler())
    {
        for (std::size_t number = 0; number < endpoints; ++number)
        {
            endpoints_.push_back(endpoint_id{"e" + std::to_string(number)});
        }
        for (int sample = 0; sample < 100; ++sample)
        {
            lengths_.record(class_id{"plan"}, customer_id{"any"}, length_of("plan"), now_);
            lengths_.record(class_id{"check"}, customer_id{"any"}, length_of("check"), now_);
            lengths_.record(class_id{"urgent"}, customer_id{"any"}, length_of("urgent"), now_);
        }
        add_endpoints();
        report_all();
    }

    void request(std::uint64_t number, const std::string& class_name, const std::string& customer)
    {
        request_log& log = requests_[number];
        log.class_name = class_name;
        log.customer = customer;
        repeat_request(number);
    }
    void repeat_request(std::uint64_t number)
    {
        const auto found = requests_.find(number);
        if (found != requests_.end() && !found->second.ended)
        {
            apply(scheduler_.request(self_, permit_request{pool_, describe(number)}, now_));
        }
    }
    void withdraw(std::uint64_t number)
    {
        const auto found = requests_.find(number);
        if (found != requests_.end())
        {
            found->second.ended = true;
            apply(scheduler_.withdraw(self_, permit_withdrawal{pool_, request_id{number}}, now_));
        }
    }
    void return_permit(std::uint64_t number)
    {
        const auto found = requests_.find(number);
        if (found == requests_.end() || found->second.permits.empty())
        {
            return;
        }
        request_log& log = found->second;
        log.ended = true;
        running_.erase(number);
        permit_return returned{
            pool_, log.permits.back(), log.endpoint, customer_id{log.customer}, class_id{log.class_name}, log.tokens,
            true};
        apply(scheduler_.return_permit(self_, returned, now_));
    }
    void advance_time(duration time)
    {
        const time_point end = now_ + time;
        while (scheduler_.next_deadline() <= end)
        {
            now_ = std::max(now_, scheduler_.next_deadline());
            apply(scheduler_.advance(now_));
        }
        now_ = end;
    }
    /// Removes the chosen endpoint, or adds it and reports its load.
    void change_endpoint(std::uint16_t choice)
    {
        if (endpoints_.empty())
        {
            return;
        }
        const endpoint_id& changed = endpoints_[choice % endpoints_.size()];
        if (choice % 3 == 0)
        {
            apply(scheduler_.remove_endpoint(changed, now_));
            end_permits_at(changed);
            return;
        }
        apply(scheduler_.add_endpoint(changed, now_));
        apply(scheduler_.report(report_of(changed), now_));
    }
    /// Runs one engine step: each stream gets a token and ends at the length of its class times the factor.
    void run_step(std::int64_t factor)
    {
        advance_time(duration{10});
        ++steps_;
        std::vector<std::uint64_t> completed;
        for (const std::uint64_t number : running_)
        {
            request_log& log = requests_[number];
            if (++log.tokens >= factor * length_of(log.class_name))
            {
                completed.push_back(number);
            }
        }
        for (const std::uint64_t number : completed)
        {
            // Returned as not completed, so that the estimator gets no sample and a wrong prediction stays wrong.
            request_log& log = requests_[number];
            running_.erase(number);
            log.ended = true;
            apply(
                scheduler_.return_permit(self_, permit_return{pool_, log.permits.back(), {}, {}, {}, 0, false}, now_));
        }
        if (steps_ % 20 == 0)
        {
            register_all();
            report_all();
        }
    }
    void register_all()
    {
        for (const std::uint64_t number : running_)
        {
            request_log& log = requests_[number];
            const permit_registration registration{
                pool_, log.permits.back(), log.endpoint, describe(number), log.tokens, 0};
            apply(scheduler_.register_permit(self_, registration, now_));
            log.expires = now_ + settings_.permit_lifetime;
        }
    }
    void report_all()
    {
        for (const endpoint_id& endpoint : endpoints_)
        {
            apply(scheduler_.report(report_of(endpoint), now_));
        }
    }
    /// Replaces the scheduler by a new one, which has only the list of endpoints.
    void restart()
    {
        now_ += duration{1};
        scheduler_ = make_scheduler();
        add_endpoints();
    }
    void apply(const scheduling_decisions& decisions)
    {
        for (const scheduling_decision& decision : decisions)
        {
            if (const auto* grant = std::get_if<permit_grant>(&decision.message))
            {
                apply_grant(*grant);
                continue;
            }
            const permit_denial& denial = std::get<permit_denial>(decision.message);
            request_log& log = requests_[denial.request.value()];
            has_conflicting_decisions_ =
                has_conflicting_decisions_ || holds_active_permit(log) || log.denied || log.ended;
            log.denied = true;
            log.ended = true;
            ++denials_[denial.why.kind];
            retry_missing_ = retry_missing_ || !denial.why.retry_after || denial.why.retry_after->count() <= 0;
        }
    }

    [[nodiscard]] std::int64_t largest_memory_used() const
    {
        std::int64_t largest = 0;
        for (const endpoint_id& endpoint : endpoints_)
        {
            largest = std::max(largest, report_of(endpoint).memory_used);
        }
        return largest;
    }
    [[nodiscard]] bool was_granted(std::uint64_t number) const
    {
        return !requests_.at(number).permits.empty();
    }
    [[nodiscard]] bool was_denied(std::uint64_t number) const
    {
        return requests_.at(number).denied;
    }
    [[nodiscard]] endpoint_id granted_endpoint(std::uint64_t number) const
    {
        return requests_.at(number).endpoint;
    }
    [[nodiscard]] int denied_count(error_kind kind) const
    {
        const auto found = denials_.find(kind);
        return found == denials_.end() ? 0 : found->second;
    }
    /// Number of requests that were neither completed, withdrawn nor denied.
    [[nodiscard]] int unfinished() const
    {
        int count = 0;
        for (const auto& [number, log] : requests_)
        {
            count += log.ended ? 0 : 1;
        }
        return count;
    }
    /// Number of requests that were neither granted, denied nor withdrawn.
    [[nodiscard]] int undecided() const
    {
        int count = 0;
        for (const auto& [number, log] : requests_)
        {
            count += log.ended || log.denied || !log.permits.empty() ? 0 : 1;
        }
        return count;
    }
    /// Whether a request was granted a second permit or was denied while it held one, or got a new decision after its
    /// end.
    [[nodiscard]] bool has_conflicting_decisions() const
    {
        return has_conflicting_decisions_;
    }
    /// Number of grants at an endpoint whose memory was already exceeded.
    [[nodiscard]] int grants_beyond_memory() const
    {
        return grants_beyond_memory_;
    }
    [[nodiscard]] bool every_denial_has_a_retry_time() const
    {
        return !retry_missing_;
    }
    [[nodiscard]] time_point now() const
    {
        return now_;
    }
    [[nodiscard]] const endpoint_id& endpoint(std::size_t index) const
    {
        return endpoints_[index];
    }
    [[nodiscard]] const scheduler_settings& settings() const
    {
        return settings_;
    }
    pool_scheduler& scheduler()
    {
        return scheduler_;
    }

  private:
    struct request_log
    {
        std::string class_name;
        std::string customer;
        std::vector<permit_id> permits;
        endpoint_id endpoint;
        std::int64_t tokens = 0;
        /// Expiry of the permit, or the time when its endpoint was removed.
        time_point expires;
        bool denied = false;
        /// Withdrawn, returned or denied.
        bool ended = false;
    };

    static std::int64_t length_of(const std::string& class_name)
    {
        return class_name == "plan" ? 200 : 10;
    }
    pool_scheduler make_scheduler()
    {
        pool_scheduler scheduler{pool_, settings_, lengths_,
                                 static_cast<std::uint64_t>(now_.time_since_epoch().count()), now_};
        scheduler.set_class(priority_record{class_id{"plan"}, 0, lane::shared, 100, duration{60'000}, false});
        scheduler.set_class(priority_record{class_id{"check"}, 2, lane::reserved, 100, duration{60'000}, false});
        scheduler.set_class(priority_record{class_id{"urgent"}, 2, lane::shared, 100, duration{60'000}, false});
        return scheduler;
    }
    void add_endpoints()
    {
        for (const endpoint_id& endpoint : endpoints_)
        {
            apply(scheduler_.add_endpoint(endpoint, now_));
        }
    }
    [[nodiscard]] work_description describe(std::uint64_t number) const
    {
        const request_log& log = requests_.at(number);
        work_description work;
        work.request = request_id{number};
        work.customer = customer_id{log.customer};
        work.work_class = class_id{log.class_name};
        work.prompt_tokens = prompt;
        return work;
    }
    [[nodiscard]] load_report report_of(const endpoint_id& endpoint) const
    {
        load_report report;
        report.endpoint = endpoint;
        report.as_of = now_;
        report.slots = slots;
        report.memory_capacity = memory;
        for (const std::uint64_t number : running_)
        {
            const request_log& log = requests_.at(number);
            if (log.endpoint == endpoint)
            {
                ++report.running;
                report.memory_used += prompt + log.tokens;
            }
        }
        return report;
    }
    [[nodiscard]] bool holds_active_permit(const request_log& log) const
    {
        return !log.permits.empty() && !log.ended && now_ < log.expires;
    }
    /// The scheduler has ended these permits, so that a repeated request may get another one.
    void end_permits_at(const endpoint_id& endpoint)
    {
        for (auto& [number, log] : requests_)
        {
            if (log.endpoint == endpoint)
            {
                log.expires = now_;
            }
        }
    }
    void apply_grant(const permit_grant& grant)
    {
        request_log& log = requests_[grant.request.value()];
        const bool repeated = !log.permits.empty() && log.permits.back() == grant.permit;
        if (repeated)
        {
            return;
        }
        has_conflicting_decisions_ = has_conflicting_decisions_ || holds_active_permit(log) || log.denied || log.ended;
        grants_beyond_memory_ += report_of(grant.endpoint).memory_used > memory ? 1 : 0;
        log.permits.push_back(grant.permit);
        log.endpoint = grant.endpoint;
        log.expires = grant.expires;
        running_.insert(grant.request.value());
    }

    pool_id pool_{"pool"};
    instance_id self_{"self"};
    scheduler_settings settings_;
    length_estimator lengths_;
    time_point now_ = at_ms(1'000'000);
    std::vector<endpoint_id> endpoints_;
    std::map<std::uint64_t, request_log> requests_;
    std::set<std::uint64_t> running_;
    std::map<error_kind, int> denials_;
    std::int64_t steps_ = 0;
    int grants_beyond_memory_ = 0;
    bool has_conflicting_decisions_ = false;
    bool retry_missing_ = false;
    pool_scheduler scheduler_;
};

} // namespace parsleyshift::test
