#include <parsleyshift/scheduling/length_estimator.hpp> // length_estimator

#include <parsleyshift/core/hash.hpp> // mix_hash

#include <algorithm>  // clamp, max, min
#include <cmath>      // exp2
#include <functional> // hash

namespace parsleyshift
{

namespace
{

// Decaying a sketch updates all its buckets, so it is done at most this often per half-life.
constexpr std::int64_t decay_steps_per_half_life = 16;

} // namespace

std::size_t length_estimator::pair_key_hash::operator()(const pair_key& key) const noexcept
{
    return mix_hash(std::hash<class_id>{}(key.work_class), std::hash<customer_id>{}(key.customer));
}

length_estimator::length_estimator(length_estimator_settings settings) : settings_(settings) {}

void length_estimator::record(const class_id& work_class, const customer_id& customer, std::int64_t tokens,
                              time_point now)
{
    decayed_sketch* shared = find_or_create_class(work_class);
    if (shared == nullptr)
    {
        return;
    }
    decay_to(*shared, now);
    shared->sketch.add(tokens);
    if (settings_.max_customer_sketches == 0)
    {
        return;
    }
    pair_entry& own = find_or_create_pair(pair_key{work_class, customer});
    decay_to(own.lengths, now);
    own.lengths.sketch.add(tokens);
}

std::int64_t length_estimator::total(const class_id& work_class, const customer_id& customer, double probability,
                                     std::int64_t so_far, std::int64_t max_tokens) const
{
    const length_sketch* sketch = best_sketch(work_class, customer, so_far);
    std::int64_t estimate = settings_.cold_start_tokens;
    if (sketch != nullptr)
    {
        estimate = sketch->quantile(probability, so_far);
        if (sketch->weight() < settings_.min_sample_weight)
        {
            estimate = std::max(estimate, settings_.cold_start_tokens);
        }
    }
    if (estimate <= so_far || (sketch != nullptr && sketch->weight_above(so_far) <= 0.0))
    {
        estimate = std::max(estimate, 2 * so_far);
    }
    estimate = std::max(estimate, so_far + 1);
    return max_tokens > 0 ? std::max(std::min(estimate, max_tokens), so_far) : estimate;
}

std::int64_t length_estimator::residual(const class_id& work_class, const customer_id& customer, double probability,
                                        std::int64_t so_far, std::int64_t max_tokens) const
{
    return total(work_class, customer, probability, so_far, max_tokens) - so_far;
}

length_sketch length_estimator::class_sketch(const class_id& work_class) const
{
    const auto found = classes_.find(work_class);
    return found == classes_.end() ? length_sketch{} : found->second.sketch;
}

void length_estimator::merge_class(const class_id& work_class, const length_sketch& sketch, time_point now)
{
    decayed_sketch* shared = find_or_create_class(work_class);
    if (shared != nullptr)
    {
        decay_to(*shared, now);
        shared->sketch.merge(sketch);
    }
}

void length_estimator::decay_to(decayed_sketch& lengths, time_point now) const
{
    const std::int64_t step = std::max<std::int64_t>(settings_.half_life.count() / decay_steps_per_half_life, 1);
    if (lengths.as_of == time_point{})
    {
        lengths.as_of = now;
        return;
    }
    const std::int64_t elapsed = (now - lengths.as_of).count();
    if (elapsed < step)
    {
        return;
    }
    const double half_lives =
        static_cast<double>(elapsed) / static_cast<double>(std::max<std::int64_t>(settings_.half_life.count(), 1));
    lengths.sketch.decay(std::exp2(-half_lives));
    lengths.as_of = now;
}

length_estimator::decayed_sketch* length_estimator::find_or_create_class(const class_id& work_class)
{
    const auto found = classes_.find(work_class);
    if (found != classes_.end())
    {
        return &found->second;
    }
    return classes_.size() < settings_.max_classes ? &classes_[work_class] : nullptr;
}

length_estimator::pair_entry& length_estimator::find_or_create_pair(const pair_key& key)
{
    const auto found = pairs_.find(key);
    if (found != pairs_.end())
    {
        lru_order_.splice(lru_order_.begin(), lru_order_, found->second.lru_position);
        return found->second;
    }
    if (pairs_.size() >= settings_.max_customer_sketches)
    {
        pairs_.erase(lru_order_.back());
        lru_order_.pop_back();
    }
    lru_order_.push_front(key);
    return pairs_.emplace(key, pair_entry{{}, lru_order_.begin()}).first->second;
}

const length_sketch* length_estimator::best_sketch(const class_id& work_class, const customer_id& customer,
                                                   std::int64_t so_far) const
{
    const auto own = pairs_.find(pair_key{work_class, customer});
    if (own != pairs_.end() && own->second.lengths.sketch.weight() >= settings_.min_sample_weight &&
        own->second.lengths.sketch.weight_above(so_far) > 0.0)
    {
        return &own->second.lengths.sketch;
    }
    const auto shared = classes_.find(work_class);
    return shared == classes_.end() ? nullptr : &shared->second.sketch;
}

} // namespace parsleyshift
