#include <parsleyshift/configuration/store_watch.hpp> // store_watch

#include <algorithm> // max, min
#include <utility>   // move

namespace parsleyshift
{
namespace
{

constexpr double retry_spread = 1.0;
constexpr int most_doublings = 8;

} // namespace

store_watch::store_watch(store_watch_settings settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

store_call store_watch::next(time_point now, bool in_haste)
{
    call_began_ = now;
    store_call call;
    if (listed_)
    {
        call.what = store_call::kind::watch;
        call.after = as_of_;
        call.wait = in_haste ? duration{} : settings_.watch_wait;
    }
    else
    {
        if (!listing_begun_)
        {
            listing_.clear();
            last_key_.clear();
            listing_began_ = now;
        }
        call.after_key = last_key_;
    }
    call.timeout = call.wait + settings_.answer_margin;
    return call;
}

bool store_watch::take(store_page page)
{
    failures_ = 0;
    if (!listing_begun_)
    {
        listing_begun_ = true;
        listing_as_of_ = page.as_of;
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
    listing_begun_ = false;
    if (listing_as_of_ < as_of_)
    {
        // An answer from before what is known; the next listing replaces it.
        return;
    }
    for (const auto& [key, item] : items_)
    {
        if (!listing_.contains(key))
        {
            changed_.push_back(key);
        }
    }
    for (const auto& [key, item] : listing_)
    {
        const auto known = items_.find(key);
        if (known == items_.end() || known->second.changed != item.changed)
        {
            changed_.push_back(key);
        }
    }
    items_ = std::move(listing_);
    listing_.clear();
    as_of_ = listing_as_of_;
    recent_.clear();
    recent_bytes_ = 0;
    recent_from_ = as_of_;
    confirmed_ = std::max(confirmed_, listing_began_);
    listed_ = true;
}

void store_watch::take(const store_changes& answer)
{
    failures_ = 0;
    if (answer.as_of < as_of_)
    {
        return;
    }
    for (const store_change& change : answer.changes)
    {
        apply({change.key, change.value.value_or(std::string{}), !change.value.has_value(), change.changed});
    }
    as_of_ = answer.as_of;
    confirmed_ = std::max(confirmed_, call_began_);
}

void store_watch::take_relayed(const source_answer& answer, time_point asked)
{
    if (answer.as_of < as_of_)
    {
        return;
    }
    for (const source_change& change : answer.changes)
    {
        apply(change);
    }
    as_of_ = answer.as_of;
    confirmed_ = std::max(confirmed_, asked - answer.age);
}

source_answer store_watch::changes_since(revision known, time_point now) const
{
    source_answer answer;
    answer.available = listed_ && known >= recent_from_ && known <= as_of_;
    answer.as_of = as_of_;
    if (!answer.available)
    {
        return answer;
    }
    answer.age = now - confirmed_;
    for (const source_change& change : recent_)
    {
        if (change.changed > known)
        {
            answer.changes.push_back(change);
        }
    }
    return answer;
}

void store_watch::apply(const source_change& change)
{
    // Also what a later page of a listing has shown already: a peer may have read its own before.
    remember(change);
    const auto known = items_.find(change.key);
    const bool older = known != items_.end() && change.changed <= known->second.changed;
    if (older)
    {
        return;
    }
    changed_.push_back(change.key);
    if (change.removed)
    {
        items_.erase(change.key);
    }
    else
    {
        items_.insert_or_assign(change.key, store_item{change.key, change.value, change.changed});
    }
}

void store_watch::remember(const source_change& change)
{
    recent_.push_back(change);
    recent_bytes_ += change.key.size() + change.value.size();
    while (recent_bytes_ > settings_.most_recent_bytes)
    {
        recent_from_ = std::max(recent_from_, recent_.front().changed);
        recent_bytes_ -= recent_.front().key.size() + recent_.front().value.size();
        recent_.pop_front();
    }
}

void store_watch::history_dropped()
{
    failures_ = 0;
    listed_ = false;
    listing_begun_ = false;
}

duration store_watch::failed()
{
    // Pages of an interrupted listing may be too old to go on from.
    listing_begun_ = false;
    failures_ = std::min(failures_ + 1, most_doublings);
    const duration base = std::min(settings_.first_retry * (1 << (failures_ - 1)), settings_.longest_retry);
    return random_.jittered(base, retry_spread);
}

std::vector<std::string> store_watch::take_changed()
{
    return std::exchange(changed_, {});
}

} // namespace parsleyshift
