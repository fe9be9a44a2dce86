#include <parsleyshift/runtime/metrics.hpp> // metrics

#include <prometheus/counter.h>         // BuildCounter
#include <prometheus/gauge.h>           // BuildGauge
#include <prometheus/histogram.h>       // BuildHistogram
#include <prometheus/registry.h>        // Registry
#include <prometheus/text_serializer.h> // TextSerializer

#include <sstream>       // ostringstream
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace parsleyshift
{

namespace
{

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

// Milliseconds: 1 ms to 2 minutes.
const Histogram::BucketBoundaries time_buckets{1,   2,   5,     10,    20,    35,     63,     100,    200,
                                               400, 800, 1'200, 2'500, 5'000, 10'000, 30'000, 120'000};
const Histogram::BucketBoundaries token_buckets{4,    8,    16,   32,   64,     128,    256,   512,
                                                1024, 2048, 4096, 8192, 16'384, 32'768, 65'536};

/// Label values up to a bound; a value beyond it becomes "other".
class bounded_labels
{
  public:
    explicit bounded_labels(std::size_t most) : most_(most) {}

    const std::string& label(const std::string& value)
    {
        static const std::string other = "other";
        static const std::string none = "none";
        if (value.empty())
        {
            return none;
        }
        const auto found = known_.find(value);
        if (found != known_.end())
        {
            return found->first;
        }
        return known_.size() < most_ ? known_.emplace(value, true).first->first : other;
    }

  private:
    std::size_t most_;
    std::unordered_map<std::string, bool> known_;
};

} // namespace

struct metrics::state
{
    state()
        : finished(prometheus::BuildCounter()
                       .Name("parsleyshift_requests_finished_total")
                       .Help("Requests by outcome, error kind, class and customer")
                       .Register(registry)),
          malformed(prometheus::BuildCounter()
                        .Name("parsleyshift_malformed_input_total")
                        .Help("Input that was rejected, by source and error kind")
                        .Register(registry)),
          dropped(prometheus::BuildCounter()
                      .Name("parsleyshift_peer_frames_dropped_total")
                      .Help("Messages to peers that were not sent")
                      .Register(registry)
                      .Add({})),
          levels(prometheus::BuildGauge()
                     .Name("parsleyshift_level")
                     .Help("Open connections and elements in the rings between threads")
                     .Register(registry))
    {
        for (const auto& row : enum_names<observed>::rows)
        {
            histograms.push_back(&prometheus::BuildHistogram()
                                      .Name("parsleyshift_" + std::string(row.name))
                                      .Help("Distribution by class and customer")
                                      .Register(registry));
        }
        for (const auto& row : enum_names<level_quantity>::rows)
        {
            gauges.push_back(&levels.Add({{"of", std::string(row.name)}}));
        }
        // A family without members is left out of the text, and then an alert on it could not tell zero from absence.
        for (const auto& source : enum_names<input_source>::rows)
        {
            malformed_counter(source.value, error_kind::malformed_request);
        }
    }

    Counter& malformed_counter(input_source from, error_kind kind)
    {
        return malformed.Add({{"source", std::string(name_of(from))}, {"kind", std::string(name_of(kind))}});
    }

    prometheus::Registry registry;
    std::vector<Family<Histogram>*> histograms;
    Family<Counter>& finished;
    Family<Counter>& malformed;
    Counter& dropped;
    Family<Gauge>& levels;
    std::vector<Gauge*> gauges;
    bounded_labels customers{max_customers};
    bounded_labels classes{max_classes};
    std::unordered_map<std::string, Histogram*> by_labels;
    std::string scratch_key;
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::record(const observe& value)
{
    state& s = *state_;
    const std::string& work_class = s.classes.label(value.work_class.value());
    const std::string& customer = s.customers.label(value.customer.value());
    const auto quantity = static_cast<std::size_t>(value.quantity);
    s.scratch_key.assign(1, static_cast<char>('0' + quantity));
    s.scratch_key.append(work_class).append(1, '\0').append(customer);
    auto found = s.by_labels.find(s.scratch_key);
    if (found == s.by_labels.end())
    {
        const auto& buckets = value.quantity == observed::length_tokens ? token_buckets : time_buckets;
        Histogram& made = s.histograms[quantity]->Add({{"class", work_class}, {"customer", customer}}, buckets);
        found = s.by_labels.emplace(s.scratch_key, &made).first;
    }
    found->second->Observe(static_cast<double>(value.value));
}

void metrics::record(const request_finished& ended)
{
    state& s = *state_;
    const std::string kind = ended.why ? std::string(name_of(*ended.why)) : "none";
    s.finished
        .Add({{"outcome", std::string(name_of(ended.what))},
              {"kind", kind},
              {"class", s.classes.label(ended.work_class.value())},
              {"customer", s.customers.label(ended.customer.value())}})
        .Increment();
}

void metrics::count_malformed(input_source from, error_kind kind)
{
    state_->malformed_counter(from, kind).Increment();
}

void metrics::count_dropped_frames(std::size_t frames)
{
    state_->dropped.Increment(static_cast<double>(frames));
}

void metrics::set(level_quantity what, std::size_t value)
{
    state_->gauges[static_cast<std::size_t>(what)]->Set(static_cast<double>(value));
}

std::string metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, state_->registry.Collect());
    return out.str();
}

} // namespace parsleyshift
