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

const Histogram::BucketBoundaries latency_buckets_ms{1,   2,   5,     10,    20,    35,     63,     100,    200,
                                                     400, 800, 1'200, 2'500, 5'000, 10'000, 30'000, 120'000};
const Histogram::BucketBoundaries token_buckets{4,    8,    16,   32,   64,     128,    256,   512,
                                                1024, 2048, 4096, 8192, 16'384, 32'768, 65'536};

/// Set of label values with a maximum size. A new value above it is replaced by "other", an empty one by "none".
class bounded_labels
{
  public:
    explicit bounded_labels(std::size_t max_values) : max_values_(max_values) {}

    const std::string& label(const std::string& value)
    {
        static const std::string other = "other";
        static const std::string none = "none";
        if (value.empty())
        {
            return none;
        }
        const auto found = values_.find(value);
        if (found != values_.end())
        {
            return found->first;
        }
        return values_.size() < max_values_ ? values_.emplace(value, true).first->first : other;
    }

  private:
    std::size_t max_values_;
    std::unordered_map<std::string, bool> values_;
};

} // namespace

struct metrics::state
{
    state()
        : finished(prometheus::BuildCounter()
                       .Name("parsleyshift_requests_finished_total")
                       .Help("Requests by outcome, error kind, class and customer")
                       .Register(registry)),
          restricted_rejections(prometheus::BuildCounter()
                                    .Name("parsleyshift_region_restricted_rejections_total")
                                    .Help("Rejected requests that might be served in some regions only, by error kind")
                                    .Register(registry)),
          zone_choices(prometheus::BuildCounter()
                           .Name("parsleyshift_zone_choices_total")
                           .Help("Requests sent to endpoints, by service, zone of the caller, zone of the endpoint and "
                                 "reason")
                           .Register(registry)),
          malformed_input(prometheus::BuildCounter()
                              .Name("parsleyshift_malformed_input_total")
                              .Help("Input that was rejected, by source and error kind")
                              .Register(registry)),
          dropped_frames(prometheus::BuildCounter()
                             .Name("parsleyshift_peer_frames_dropped_total")
                             .Help("Messages to peers that were not sent")
                             .Register(registry)
                             .Add({})),
          store_reads(prometheus::BuildHistogram()
                          .Name("parsleyshift_store_read_ms")
                          .Help("Time of reads of the configuration service, by source and result")
                          .Register(registry)),
          store_bytes(prometheus::BuildCounter()
                          .Name("parsleyshift_store_bytes_total")
                          .Help("Bytes of items of the configuration service, read by source or relayed to peers")
                          .Register(registry)),
          relayed_bytes(store_bytes.Add({{"direction", "relayed"}})),
          levels(prometheus::BuildGauge()
                     .Name("parsleyshift_level")
                     .Help("Open connections and elements in the rings between threads")
                     .Register(registry))
    {
        for (const auto& row : enum_names<histogram>::rows)
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
        // Prometheus omits a family without members, and an alert could not tell that from zero.
        for (const auto& source : enum_names<input_source>::rows)
        {
            malformed_counter(source.value, error_kind::malformed_request);
        }
        restricted_counter(error_kind::region_not_allowed);
    }

    Counter& malformed_counter(input_source from, error_kind kind)
    {
        return malformed_input.Add({{"source", std::string(name_of(from))}, {"kind", std::string(name_of(kind))}});
    }

    Counter& restricted_counter(error_kind kind)
    {
        return restricted_rejections.Add({{"kind", std::string(name_of(kind))}});
    }

    prometheus::Registry registry;
    std::vector<Family<Histogram>*> histograms;
    Family<Counter>& finished;
    Family<Counter>& restricted_rejections;
    Family<Counter>& zone_choices;
    Family<Counter>& malformed_input;
    Counter& dropped_frames;
    Family<Histogram>& store_reads;
    Family<Counter>& store_bytes;
    Counter& relayed_bytes;
    Family<Gauge>& levels;
    std::vector<Gauge*> gauges;
    bounded_labels customers{max_customers};
    bounded_labels classes{max_classes};
    bounded_labels services{max_services};
    bounded_labels zones{max_zones};
    std::unordered_map<std::string, Histogram*> histograms_by_labels;
    /// Reused between samples, so that a lookup does not allocate.
    std::string scratch_key;
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::record(const record_sample& sample)
{
    state& s = *state_;
    const std::string& work_class = s.classes.label(sample.work_class.value());
    const std::string& customer = s.customers.label(sample.customer.value());
    const auto quantity = static_cast<std::size_t>(sample.quantity);
    s.scratch_key.assign(1, static_cast<char>('0' + quantity));
    s.scratch_key.append(work_class).append(1, '\0').append(customer);
    auto found = s.histograms_by_labels.find(s.scratch_key);
    if (found == s.histograms_by_labels.end())
    {
        const auto& buckets = sample.quantity == histogram::length_tokens ? token_buckets : latency_buckets_ms;
        Histogram& histogram = s.histograms[quantity]->Add({{"class", work_class}, {"customer", customer}}, buckets);
        found = s.histograms_by_labels.emplace(s.scratch_key, &histogram).first;
    }
    found->second->Observe(static_cast<double>(sample.value));
}

void metrics::record(const request_finished& request)
{
    state& s = *state_;
    const std::string kind = request.why ? std::string(name_of(*request.why)) : "none";
    s.finished
        .Add({{"outcome", std::string(name_of(request.what))},
              {"kind", kind},
              {"class", s.classes.label(request.work_class.value())},
              {"customer", s.customers.label(request.customer.value())}})
        .Increment();
    if (request.region_restricted && request.why)
    {
        s.restricted_counter(*request.why).Increment();
    }
}

void metrics::record(const record_zone_choice& choice)
{
    state& s = *state_;
    s.zone_choices
        .Add({{"service", s.services.label(choice.service.value())},
              {"from", s.zones.label(choice.from.value())},
              {"to", s.zones.label(choice.to.value())},
              {"reason", std::string(name_of(choice.reason))}})
        .Increment();
}

void metrics::record(const store_read& read)
{
    const std::string source(name_of(read.source));
    state_->store_reads.Add({{"source", source}, {"result", std::string(name_of(read.result))}}, latency_buckets_ms)
        .Observe(static_cast<double>(read.elapsed.count()));
    state_->store_bytes.Add({{"direction", "read from " + source}}).Increment(static_cast<double>(read.bytes));
}

void metrics::count_relayed(std::size_t bytes)
{
    state_->relayed_bytes.Increment(static_cast<double>(bytes));
}

void metrics::count_malformed(input_source from, error_kind kind)
{
    state_->malformed_counter(from, kind).Increment();
}

void metrics::count_dropped_frames(std::size_t frames)
{
    state_->dropped_frames.Increment(static_cast<double>(frames));
}

void metrics::set(level_quantity gauge, std::size_t value)
{
    state_->gauges[static_cast<std::size_t>(gauge)]->Set(static_cast<double>(value));
}

std::string metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, state_->registry.Collect());
    return out.str();
}

} // namespace parsleyshift
