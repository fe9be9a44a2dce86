#include <parsleyshift/scheduling/pool_scheduler.hpp> // pool_scheduler

#include <nlohmann/json.hpp> // json

#include <chrono>   // steady_clock
#include <deque>    // deque
#include <fstream>  // ofstream
#include <malloc.h> // mallinfo2
#include <string>   // to_string
#include <vector>   // vector

namespace
{

using namespace parsleyshift;

constexpr std::int64_t slots = 24;
const instance_id from{"entry-1"};
const pool_id pool{"pool"};

/// @brief Bytes that the process holds from the allocator.
double allocated()
{
    return static_cast<double>(mallinfo2().uordblks);
}

struct held_permit
{
    permit_id permit;
    endpoint_id endpoint;
};

class cost_run
{
  public:
    cost_run(std::size_t endpoints, std::size_t customers)
        : customers_(customers), before_(allocated()), scheduler_(pool, scheduler_settings{}, lengths_, 1, now_)
    {
        scheduler_.set_class(priority_record{class_id{"long"}, 0, lane::shared, 100'000, duration{600'000}, false});
        for (std::size_t number = 0; number < endpoints; ++number)
        {
            load_report report;
            report.endpoint = endpoint_id{"endpoint-" + std::to_string(number)};
            report.as_of = now_;
            report.slots = slots;
            report.memory_capacity = 100'000;
            scheduler_.add_endpoint(report.endpoint, now_);
            take(scheduler_.report(report, now_));
        }
        bytes_of_endpoints_ = allocated() - before_;
    }
    /// Fills the pool and lets requests wait, then returns and requests in turn.
    nlohmann::json measure(std::size_t endpoints)
    {
        constexpr std::size_t waiting = 5'000;
        constexpr int turns = 100'000;
        const std::size_t total = endpoints * static_cast<std::size_t>(slots) + waiting;
        const double bytes_before = allocated();
        for (std::size_t number = 0; number < total; ++number)
        {
            ask();
        }
        const double bytes_after = allocated();
        std::size_t decisions = 0;
        const auto start = std::chrono::steady_clock::now();
        for (int turn = 0; turn < turns; ++turn)
        {
            now_ += duration{turn % 10 == 0 ? 1 : 0};
            const held_permit held = held_.front();
            held_.pop_front();
            const std::size_t before = held_.size();
            take(scheduler_.return_permit(
                from, permit_return{pool, held.permit, held.endpoint, customer(turn), class_id{"long"}, 300, true},
                now_));
            ask();
            decisions += held_.size() - before;
        }
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
        return nlohmann::json{{"endpoints", endpoints},
                              {"customers", customers_},
                              {"permits", scheduler_.permits()},
                              {"waiting", scheduler_.waiting()},
                              {"decisions_per_second", static_cast<double>(decisions) / took.count()},
                              {"bytes_per_request", (bytes_after - bytes_before) / static_cast<double>(total)},
                              {"bytes_per_endpoint", bytes_of_endpoints_ / static_cast<double>(endpoints)}};
    }

  private:
    [[nodiscard]] customer_id customer(std::size_t number) const
    {
        return customer_id{"customer-" + std::to_string(number % customers_)};
    }
    void ask()
    {
        permit_request request;
        request.work.request = request_id{++number_};
        request.work.customer = customer(number_ * 7);
        request.work.work_class = class_id{"long"};
        request.work.prompt_tokens = 200;
        request.work.max_tokens = 32'768;
        take(scheduler_.request(from, request, now_));
    }
    void take(const scheduling_decisions& decisions)
    {
        for (const scheduling_decision& decision : decisions)
        {
            if (const auto* grant = std::get_if<permit_grant>(&decision.message))
            {
                held_.push_back(held_permit{grant->permit, grant->endpoint});
            }
        }
    }

    std::size_t customers_;
    double before_;
    double bytes_of_endpoints_ = 0.0;
    time_point now_ = at_ms(1'000'000);
    length_estimator lengths_;
    pool_scheduler scheduler_;
    std::deque<held_permit> held_;
    std::uint64_t number_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const std::size_t endpoints : {12U, 120U, 1'200U, 12'000U})
    {
        for (const std::size_t customers : {10U, 8'200U})
        {
            cost_run run{endpoints, customers};
            rows.push_back(run.measure(endpoints));
        }
    }
    std::ofstream file{argc > 1 ? argv[1] : "decision_cost.json"};
    file << rows.dump(1) << '\n';
    return file.good() ? 0 : 1;
}
