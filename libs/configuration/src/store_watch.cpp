#include <parsleyshift/configuration/store_watch.hpp> // store_watch

#include <parsleyshift/compression/deflate.hpp> // compress, decompress

#include <algorithm> // clamp, max, min, min_element
#include <iterator>  // next
#include <set>       // set
#include <utility>   // exchange, move

namespace parsleyshift
{
namespace
{

/// Retry delays are between the base delay and (1 + retry_jitter) times it, so that instances do not retry together.
constexpr double retry_jitter = 1.0;
/// Larger numbers of failures are not counted, so that the shift of the delay cannot overflow.
constexpr int max_counted_failures = 8;

} // namespace

store_watch::store_watch(store_watch_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed), timeout_margin_(settings.timeout_margin)
{
}

store_call store_watch::next(time_point now, bool no_wait)
{
    call_started_at_ = now;
    store_call call;
    if (!listing_needed_)
    {
        call.what = store_call::kind::watch;
        call.after = as_of_;
        const duration longest_wait = std::max(settings_.max_watch_duration - latency_, duration{});
        call.wait = no_wait ? duration{} : std::min(settings_.watch_wait, longest_wait);
        const double bytes_in_latency = static_cast<double>(latency_.count()) * settings_.link_rate;
        call.max_response_bytes =
            settings_.watch_response_allowance + 2 * copy_bytes() + static_cast<std::size_t>(bytes_in_latency);
    }
    else
    {
        if (!listing_in_progress_)
        {
            listing_.clear();
            last_key_.clear();
            listing_started_at_ = now;
        }
        call.after_key = last_key_;
    }
    call.timeout = call.wait + timeout_margin_;
    call.transfer_timeout = call.timeout + (listed_ ? settings_.max_transfer_time : settings_.max_first_listing_time);
    latest_call_ = call;
    return call;
}

void store_watch::record_response(time_point now)
{
    const duration elapsed = now - call_started_at_;
    // A watch whose response came before the end of its wait was answered with changes.
    const bool waited = latest_call_.what == store_call::kind::watch && elapsed < latest_call_.wait;
    latency_ = waited ? std::min(latency_, elapsed) : elapsed - latest_call_.wait;
    timeout_margin_ =
        std::clamp(latency_ * settings_.latency_multiple, settings_.timeout_margin, settings_.max_timeout_margin);
}

std::size_t store_watch::copy_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& [key, item] : items_)
    {
        bytes += key.size() + item.value.size();
    }
    return bytes;
}

bool store_watch::handle(store_page page)
{
    consecutive_failures_ = 0;
    const bool is_mixed = listing_in_progress_ && page.era != listing_era_;
    if (is_mixed || page.era < era_)
    {
        // The next call begins the listing again.
        listing_in_progress_ = false;
        return false;
    }
    if (!listing_in_progress_)
    {
        listing_in_progress_ = true;
        listing_as_of_ = page.at_revision;
        listing_era_ = page.era;
    }
    for (store_item& item : page.items)
    {
        last_key_ = item.key;
        std::string key = item.key;
        listing_.insert_or_assign(std::move(key), std::move(item));
    }
    if (page.more && !page.items.empty())
    {
        return false;
    }
    finish_listing();
    return true;
}

void store_watch::finish_listing()
{
    listing_in_progress_ = false;
    if (!is_current(listing_era_, listing_as_of_))
    {
        // The listing is older than the local copy; it is discarded and a new listing follows.
        return;
    }
    begin_era(listing_era_);
    for (const auto& [key, item] : items_)
    {
        if (!listing_.contains(key))
        {
            changed_.push_back(key);
        }
    }
    for (const auto& [key, item] : listing_)
    {
        const auto existing = items_.find(key);
        if (existing == items_.end() || existing->second.changed != item.changed)
        {
            changed_.push_back(key);
        }
    }
    items_ = std::move(listing_);
    listing_.clear();
    as_of_ = listing_as_of_;
    forget_removals(as_of_);
    confirmed_ = std::max(confirmed_, listing_started_at_);
    listed_ = true;
    listing_needed_ = false;
}

void store_watch::begin_era(source_era era)
{
    if (era == era_)
    {
        return;
    }
    for (const auto& [key, item] : items_)
    {
        changed_.push_back(key);
    }
    items_.clear();
    compressed_.clear();
    removals_.clear();
    removals_known_since_ = revision{};
    era_ = era;
}

void store_watch::handle(const store_changes& answer)
{
    consecutive_failures_ = 0;
    watch_rejected_ = false;
    if (answer.era > era_)
    {
        restart_listing();
        return;
    }
    if (!is_current(answer.era, answer.at_revision))
    {
        return;
    }
    for (const store_change& change : answer.changes)
    {
        apply({change.key, change.value.value_or(std::string{}), !change.value.has_value(), change.changed, false});
    }
    as_of_ = answer.at_revision;
    confirmed_ = std::max(confirmed_, call_started_at_);
}

bool store_watch::apply_relayed(const source_answer& answer, time_point requested_at)
{
    if (!is_current(answer.era, answer.at_revision))
    {
        return true;
    }
    const bool needs_all = !listed_ || answer.era > era_;
    if (needs_all && !answer.lists_all)
    {
        return false;
    }
    const bool brings_changes = answer.era > era_ || answer.at_revision > as_of_;
    std::vector<source_change> changes = answer.changes;
    for (source_change& change : changes)
    {
        if (change.compressed)
        {
            auto value = decompress(change.value, settings_.max_value_size);
            if (value.has_error())
            {
                return false;
            }
            change.value = std::move(value).value();
        }
    }
    begin_era(answer.era);
    for (const source_change& change : changes)
    {
        apply(change);
    }
    if (answer.lists_all)
    {
        remove_unlisted(answer);
    }
    as_of_ = answer.at_revision;
    confirmed_ = std::max(confirmed_, requested_at - answer.age);
    if (brings_changes || answer.available)
    {
        listing_needed_ = false;
        listing_in_progress_ = false;
        listed_ = true;
    }
    return true;
}

void store_watch::remove_unlisted(const source_answer& answer)
{
    std::set<std::string> listed_keys(answer.unchanged_keys.begin(), answer.unchanged_keys.end());
    for (const source_change& change : answer.changes)
    {
        listed_keys.insert(change.key);
    }
    for (auto item = items_.begin(); item != items_.end();)
    {
        // A later page of a listing may have brought an item that is newer than the answer.
        const bool removed = !listed_keys.contains(item->first) && item->second.changed <= answer.at_revision;
        if (removed)
        {
            changed_.push_back(item->first);
        }
        item = removed ? items_.erase(item) : std::next(item);
    }
    forget_removals(answer.at_revision);
}

source_change store_watch::change_of(const store_item& item, bool accepts_compressed)
{
    if (!accepts_compressed || item.value.size() < settings_.min_compressed_size)
    {
        return {item.key, item.value, false, item.changed, false};
    }
    compressed_value& value = compressed_[item.key];
    if (value.changed != item.changed)
    {
        value = {item.changed, compress(item.value)};
    }
    return {item.key, value.bytes, false, item.changed, true};
}

source_answer store_watch::answer_to(const source_pull& pull, time_point arrived_at)
{
    const source_era known_era = era_of(pull);
    // Revisions of an earlier era say nothing about this one, so that all items are new.
    const revision after = known_era < era_ ? revision{} : pull.known_revision;
    source_answer answer;
    answer.pull_number = pull.pull_number;
    answer.at_revision = as_of_;
    answer.era = era_;
    answer.lists_all = known_era < era_ || after < removals_known_since_;
    answer.available = listed_ && known_era <= era_ && after <= as_of_ && (!answer.lists_all || pull.accepts_listing);
    answer.complete = answer.available;
    if (!answer.complete)
    {
        return answer;
    }
    answer.age = std::max(arrived_at - confirmed_, duration{});
    for (const auto& [key, item] : items_)
    {
        if (item.changed > after)
        {
            answer.changes.push_back(change_of(item, pull.accepts_compressed));
        }
        else if (answer.lists_all)
        {
            answer.unchanged_keys.push_back(key);
        }
    }
    for (const auto& [key, removed_at] : removals_)
    {
        if (removed_at > after && !answer.lists_all)
        {
            answer.changes.push_back({key, {}, true, removed_at, false});
        }
    }
    return answer;
}

void store_watch::apply(const source_change& change)
{
    const auto existing = items_.find(change.key);
    const bool older = existing != items_.end() && change.changed <= existing->second.changed;
    if (older)
    {
        return;
    }
    changed_.push_back(change.key);
    if (change.removed)
    {
        items_.erase(change.key);
        compressed_.erase(change.key);
        record_removal(change);
    }
    else
    {
        removals_.erase(change.key);
        items_.insert_or_assign(change.key, store_item{change.key, change.value, change.changed});
    }
}

void store_watch::record_removal(const source_change& change)
{
    removals_.insert_or_assign(change.key, change.changed);
    if (removals_.size() > settings_.max_removals)
    {
        const auto oldest = std::min_element(removals_.begin(), removals_.end(),
                                             [](const auto& a, const auto& b) { return a.second < b.second; });
        removals_known_since_ = std::max(removals_known_since_, oldest->second);
        removals_.erase(oldest);
    }
}

void store_watch::forget_removals(revision up_to)
{
    removals_.clear();
    removals_known_since_ = std::max(removals_known_since_, up_to);
    std::erase_if(compressed_, [this](const auto& value) { return !items_.contains(value.first); });
}

void store_watch::restart_listing()
{
    consecutive_failures_ = 0;
    listing_needed_ = true;
    listing_in_progress_ = false;
}

bool store_watch::restart_after_rejected_watch()
{
    if (std::exchange(watch_rejected_, true))
    {
        return false;
    }
    restart_listing();
    return true;
}

duration store_watch::record_failure(bool response_started)
{
    // The pages of an interrupted listing may be too old to continue from.
    listing_in_progress_ = false;
    listing_needed_ = listing_needed_ || response_started;
    timeout_margin_ = settings_.max_timeout_margin;
    consecutive_failures_ = std::min(consecutive_failures_ + 1, max_counted_failures);
    const duration base =
        std::min(settings_.initial_retry_delay * (1 << (consecutive_failures_ - 1)), settings_.max_retry_delay);
    return random_.jittered(base, retry_jitter);
}

std::vector<std::string> store_watch::take_changed()
{
    return std::exchange(changed_, {});
}

} // namespace parsleyshift
