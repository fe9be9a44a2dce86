#include "engine_model.hpp" // engine_model

#include <parsleyshift/client/json_member.hpp> // member_or

#include "http_server.hpp" // field_or, now_ms

#include <parsleyshift/core/hash.hpp> // stable_hash

#include <algorithm> // find
#include <array>     // array
#include <charconv>  // from_chars
#include <chrono>    // milliseconds
#include <cstdlib>   // quick_exit
#include <thread>    // sleep_for
#include <utility>   // move

namespace parsleyshift::standins
{
namespace
{

constexpr std::size_t kept_generations = 2'000;
constexpr std::size_t kept_cache_events = 2'000;
/// Lengths in bytes at which callers of cache events expect prefixes (docs/interface.md).
constexpr std::array<std::size_t, 17> prefix_lengths{64,   128,  256,  384,  512,   768,   1024,  1536, 2048,
                                                     3072, 4096, 6144, 8192, 12288, 16384, 24576, 32768};

/// Number after a mark in the prompt, for example 40 after "length=" in "length=40"; tests steer runs with it.
std::optional<std::int64_t> number_after(const std::string& prompt, const std::string& mark)
{
    const std::size_t found = prompt.find(mark);
    if (found == std::string::npos)
    {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const char* start = prompt.data() + found + mark.size();
    std::from_chars(start, prompt.data() + prompt.size(), number);
    return number;
}

/// Length of a generation: mostly short, a few many times longer.
std::int64_t natural_length(const std::string& prompt)
{
    const std::uint64_t hash = stable_hash(prompt);
    const auto base = static_cast<std::int64_t>(20 + hash % 60);
    return hash % 16 == 0 ? base * 20 : base;
}

} // namespace

engine_model::engine_model(engine_options options)
    : options_(std::move(options)), models_(options_.models.begin(), options_.models.end())
{
    refresh_load();
}

void engine_model::run()
{
    while (true)
    {
        double wait_ms = options_.step_ms;
        {
            const std::lock_guard lock{mutex_};
            finish_loads();
            forget_old();
            if (now_ms() - load_taken_ms_ >= options_.load_lag_ms)
            {
                refresh_load();
            }
            if (now_ms() >= paused_until_ms_)
            {
                admit();
                decode();
                wait_ms *= slow_ * (1 + options_.step_growth * static_cast<double>(count(state::running)));
            }
        }
        changed_.notify_all();
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{wait_ms});
    }
}

std::optional<std::string> engine_model::submit(const std::string& attempt, const nlohmann::json& request)
{
    const std::lock_guard lock{mutex_};
    const std::string model = member_or<std::string>(request, "model", "");
    generation added;
    added.prompt = member_or<std::string>(request, "prompt", "");
    added.prompt_tokens = static_cast<std::int64_t>(added.prompt.size() / 4 + 1);
    added.priority = member_or<std::int64_t>(request, "priority", 0);
    added.crash_at = number_after(added.prompt, "crash=").value_or(-1);
    added.total = number_after(added.prompt, "length=").value_or(natural_length(added.prompt));
    const auto limit = member_or<std::int64_t>(request, "max_tokens", 0);
    added.total = limit > 0 ? std::min(added.total, limit) : added.total;
    if (leaving_)
    {
        return "leaving";
    }
    if (!model.empty() && !models_.empty() && models_.count(model) == 0)
    {
        return "model not loaded";
    }
    if (all_.count(attempt) != 0)
    {
        return "attempt is known";
    }
    if (added.prompt_tokens + added.total > options_.memory || count(state::waiting) >= options_.max_waiting)
    {
        return "no room";
    }
    added.arrival = ++arrivals_;
    added.prefill_left = std::max<std::int64_t>(added.prompt_tokens - note_prefixes(added.prompt), 0);
    all_.emplace(attempt, std::move(added));
    return std::nullopt;
}

generation_view engine_model::await(const std::string& attempt, std::size_t offset)
{
    std::unique_lock lock{mutex_};
    while (true)
    {
        const auto found = all_.find(attempt);
        if (found == all_.end())
        {
            return {};
        }
        const generation& seen = found->second;
        const bool ended = seen.now == state::finished || seen.now == state::cancelled;
        if (ended || seen.tokens.size() > offset)
        {
            generation_view view{true, {}, seen.now == state::finished, seen.now == state::cancelled, 0};
            view.total = static_cast<std::int64_t>(seen.tokens.size());
            const auto start = static_cast<std::ptrdiff_t>(std::min(offset, seen.tokens.size()));
            view.tokens.assign(seen.tokens.begin() + start, seen.tokens.end());
            return view;
        }
        changed_.wait(lock);
    }
}

bool engine_model::cancel(const std::string& attempt)
{
    const std::lock_guard lock{mutex_};
    const auto found = all_.find(attempt);
    if (found == all_.end())
    {
        return false;
    }
    if (found->second.now == state::waiting || found->second.now == state::running)
    {
        end(found->second, state::cancelled);
    }
    changed_.notify_all();
    return true;
}

nlohmann::json engine_model::load_report()
{
    const std::lock_guard lock{mutex_};
    return load_;
}

nlohmann::json engine_model::cache_events(std::int64_t after)
{
    const std::lock_guard lock{mutex_};
    nlohmann::json events = nlohmann::json::array();
    std::int64_t next = after;
    for (const cache_row& row : cache_)
    {
        if (row.sequence <= after || row.visible_ms > now_ms())
        {
            continue;
        }
        next = std::max(next, row.sequence);
        if (options_.cache_gap == 0 || row.sequence % options_.cache_gap != 0)
        {
            events.push_back({{"sequence", row.sequence}, {"prefix", row.prefix}, {"cached", row.cached}});
        }
    }
    return {{"events", events}, {"next", next}};
}

nlohmann::json engine_model::order(const nlohmann::json& order)
{
    const std::lock_guard lock{mutex_};
    const auto fence = member_or<std::int64_t>(order, "fence", 0);
    if (fence < fence_ && !options_.ignores_fencing)
    {
        return {{"accepted", false}, {"fence", fence_}};
    }
    fence_ = std::max(fence_, fence);
    const std::string action = member_or<std::string>(order, "action", "");
    const std::string model = member_or<std::string>(order, "model", "");
    if (action == "load_model" && models_.count(model) == 0 && loads_.size() < 64)
    {
        loads_.push_back({now_ms() + options_.load_ms, model});
    }
    else if (action == "unload_model")
    {
        models_.erase(model);
    }
    else if (action == "set_role")
    {
        role_ = member_or<std::string>(order, "role", role_);
    }
    return {{"accepted", true}, {"fence", fence_}};
}

void engine_model::set_slow(double factor)
{
    const std::lock_guard lock{mutex_};
    slow_ = std::clamp(factor, 0.01, 10'000.0);
}

void engine_model::pause_for(std::int64_t milliseconds)
{
    const std::lock_guard lock{mutex_};
    paused_until_ms_ = now_ms() + milliseconds;
}

void engine_model::leave()
{
    const std::lock_guard lock{mutex_};
    leaving_ = true;
}

bool engine_model::leaving()
{
    const std::lock_guard lock{mutex_};
    return leaving_;
}

nlohmann::json engine_model::counts()
{
    const std::lock_guard lock{mutex_};
    return {{"started", arrivals_}, {"preemptions", preemptions_}, {"running", count(state::running)}};
}

engine_model::generation* engine_model::best_waiting()
{
    generation* best = nullptr;
    for (auto& row : all_)
    {
        generation& each = row.second;
        const bool better = best == nullptr || each.priority > best->priority ||
                            (each.priority == best->priority && each.arrival < best->arrival);
        if (each.now == state::waiting && better)
        {
            best = &each;
        }
    }
    return best;
}

std::string engine_model::worst_running() const
{
    const generation* worst = nullptr;
    std::string attempt;
    for (const auto& row : all_)
    {
        const generation& each = row.second;
        const bool worse = worst == nullptr || each.priority < worst->priority ||
                           (each.priority == worst->priority && each.arrival > worst->arrival);
        if (each.now == state::running && worse)
        {
            worst = &each;
            attempt = row.first;
        }
    }
    return attempt;
}

void engine_model::admit()
{
    generation* next = best_waiting();
    while (next != nullptr && count(state::running) < options_.slots &&
           memory_used() + next->memory() < options_.memory)
    {
        next->now = state::running;
        next = best_waiting();
    }
}

void engine_model::decode()
{
    make_room();
    for (auto& row : all_)
    {
        generation& each = row.second;
        if (each.now != state::running)
        {
            continue;
        }
        if (each.prefill_left > 0)
        {
            each.prefill_left -= options_.prefill_tokens;
            continue;
        }
        if (each.crash_at >= 0 && static_cast<std::int64_t>(each.tokens.size()) >= each.crash_at)
        {
            std::quick_exit(70);
        }
        // The attempt in the token lets tests see that no token of another generation follows.
        each.tokens.push_back(row.first + "." + std::to_string(each.tokens.size()) + " ");
        if (static_cast<std::int64_t>(each.tokens.size()) >= each.total)
        {
            end(each, state::finished);
        }
    }
}

/// Memory that fills during decoding preempts the generation of least priority, which is computed again later.
void engine_model::make_room()
{
    while (memory_used() + count(state::running) > options_.memory && count(state::running) > 1)
    {
        generation& victim = all_.at(worst_running());
        victim.now = state::waiting;
        victim.prefill_left = victim.memory();
        ++preemptions_;
    }
}

void engine_model::end(generation& ended, state how)
{
    ended.now = how;
    ended.ended_ms = now_ms();
}

void engine_model::forget_old()
{
    for (auto row = all_.begin(); row != all_.end();)
    {
        const generation& each = row->second;
        const bool ended = each.now == state::finished || each.now == state::cancelled;
        const bool old = now_ms() - each.ended_ms > options_.keep_ms || all_.size() > kept_generations;
        row = ended && old ? all_.erase(row) : std::next(row);
    }
}

void engine_model::finish_loads()
{
    for (auto load = loads_.begin(); load != loads_.end();)
    {
        const bool ready = load->ready_ms <= now_ms();
        if (ready)
        {
            models_.insert(load->model);
        }
        load = ready ? loads_.erase(load) : std::next(load);
    }
}

void engine_model::refresh_load()
{
    load_taken_ms_ = now_ms();
    load_ = {{"as_of_ms", load_taken_ms_},
             {"running", count(state::running)},
             {"waiting", count(state::waiting)},
             {"slots", options_.slots},
             {"memory_used", memory_used()},
             {"memory_capacity", options_.memory},
             {"leaving", leaving_},
             {"models", models_},
             {"role", role_},
             {"fence", fence_}};
}

std::int64_t engine_model::count(state wanted) const
{
    return std::count_if(all_.begin(), all_.end(), [wanted](const auto& row) { return row.second.now == wanted; });
}

std::int64_t engine_model::memory_used() const
{
    std::int64_t used = 0;
    for (const auto& row : all_)
    {
        used += row.second.now == state::running ? row.second.memory() : 0;
    }
    return used;
}

/// Marks the prompt's prefixes as cached. @return prompt tokens that were cached before
std::int64_t engine_model::note_prefixes(const std::string& prompt)
{
    std::int64_t hit = 0;
    for (const std::size_t length : prefix_lengths)
    {
        if (length > prompt.size())
        {
            break;
        }
        const std::uint64_t prefix = stable_hash(std::string_view{prompt}.substr(0, length));
        const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
        if (found != prefixes_.end())
        {
            hit = static_cast<std::int64_t>(length / 4);
            prefixes_.erase(found);
            prefixes_.push_back(prefix);
            continue;
        }
        prefixes_.push_back(prefix);
        add_cache_event(prefix, true);
    }
    while (prefixes_.size() > static_cast<std::size_t>(options_.cached_prefixes))
    {
        add_cache_event(prefixes_.front(), false);
        prefixes_.pop_front();
    }
    return hit;
}

void engine_model::add_cache_event(std::uint64_t prefix, bool cached)
{
    cache_.push_back({++sequence_, now_ms() + options_.cache_lag_ms, prefix, cached});
    if (cache_.size() > kept_cache_events)
    {
        cache_.pop_front();
    }
}

} // namespace parsleyshift::standins
