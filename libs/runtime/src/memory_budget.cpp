#include <parsleyshift/runtime/memory_budget.hpp> // memory_budget

#include <algorithm> // find_if, max, min, rotate
#include <iterator>  // next
#include <utility>   // exchange, move
#include <vector>    // vector

namespace parsleyshift
{

namespace
{

// Bounds the stated retry times. Below the lower one a repeat would meet the same bodies again.
constexpr duration min_retry{500};
constexpr duration max_retry{5'000};
// Part of the free bytes at which one stream pauses. 2,000 paused streams use 86% of the budget.
constexpr std::size_t stream_backlog_divisor = 1024;

constexpr bool is_small_size(std::size_t bytes)
{
    return bytes <= memory_budget::small_bytes;
}

constexpr std::size_t index(memory_use use)
{
    return static_cast<std::size_t>(use);
}

} // namespace

memory_share::memory_share(memory_budget& budget, const memory_request& request)
    : budget_(&budget), request_(request), is_small_(is_small_size(request.bytes))
{
    budget_->add(request_, is_small_);
}

memory_share::~memory_share()
{
    release();
}

memory_share::memory_share(memory_share&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)),
      request_(std::exchange(other.request_, {})),
      is_small_(other.is_small_)
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = std::exchange(other.budget_, nullptr);
        request_ = std::exchange(other.request_, {});
        is_small_ = other.is_small_;
    }
    return *this;
}

void memory_share::resize(std::size_t bytes)
{
    if (budget_ == nullptr || bytes == request_.bytes)
    {
        return;
    }
    const memory_request before = request_;
    request_.bytes = bytes;
    budget_->add(request_, is_small_);
    budget_->subtract(before, is_small_);
}

void memory_share::release()
{
    if (budget_ != nullptr)
    {
        std::exchange(budget_, nullptr)->subtract(request_, is_small_);
        request_ = {};
    }
}

memory_budget::memory_budget(std::size_t bytes) : bytes_(bytes) {}

std::optional<memory_share> memory_budget::take(const memory_request& request)
{
    const lane where{request.use, is_small_size(request.bytes), request.customer};
    if (lanes_.contains(where) || !is_within_share(where, request.bytes) || !fits(where, request.bytes))
    {
        return std::nullopt;
    }
    for (const auto& [other, waiters] : lanes_)
    {
        const bool is_same_part = other.use == where.use && other.is_small == where.is_small;
        if (is_same_part && is_within_share(other, waiters.front().bytes))
        {
            return std::nullopt;
        }
    }
    return memory_share(*this, request);
}

memory_share memory_budget::charge(const memory_request& request)
{
    return memory_share(*this, request);
}

memory_budget::waiter_id memory_budget::wait(const memory_request& request, time_point until, waiter_callback done)
{
    const lane where{request.use, is_small_size(request.bytes), request.customer};
    const waiter_id id = ++last_waiter_;
    lanes_[where].push_back({id, request.bytes, until, std::move(done)});
    lane_of_.emplace(id, where);
    waiting_bodies_ += request.use == memory_use::request_body ? 1 : 0;
    return id;
}

void memory_budget::cancel(waiter_id id)
{
    const auto found = lane_of_.find(id);
    if (found == lane_of_.end())
    {
        return;
    }
    const lane where = found->second;
    auto& waiters = lanes_.at(where);
    // Moves the waiter to the front, where pop() removes it.
    const auto at = std::find_if(waiters.begin(), waiters.end(), [id](const waiter& each) { return each.id == id; });
    std::rotate(waiters.begin(), at, at + 1);
    pop(where);
    if (on_released_ && !lane_of_.empty())
    {
        on_released_();
    }
}

memory_budget::waiter memory_budget::pop(const lane& where)
{
    const auto found = lanes_.find(where);
    waiter first = std::move(found->second.front());
    found->second.pop_front();
    if (found->second.empty())
    {
        lanes_.erase(found);
    }
    lane_of_.erase(first.id);
    waiting_bodies_ -= where.use == memory_use::request_body ? 1 : 0;
    return first;
}

void memory_budget::serve(time_point now)
{
    expire(now);
    while (const auto next = next_lane())
    {
        const waiter first = pop(*next);
        first.done(memory_share(*this, {next->use, next->customer, first.bytes}));
    }
}

void memory_budget::expire(time_point now)
{
    // Callbacks may wait again, so the waiters are removed first.
    std::vector<waiter_callback> expired;
    for (auto at = lanes_.begin(); at != lanes_.end();)
    {
        const lane where = at->first;
        const bool is_over = at->second.front().until <= now;
        at = is_over ? at : std::next(at);
        if (is_over)
        {
            expired.push_back(pop(where).done);
            at = lanes_.lower_bound(where);
        }
    }
    for (const auto& done : expired)
    {
        done(std::nullopt);
    }
}

std::optional<memory_budget::lane> memory_budget::next_lane() const
{
    std::optional<lane> next;
    const auto comes_before = [this](const lane& left, const lane& right)
    {
        const std::size_t left_held = held(left);
        const std::size_t right_held = held(right);
        return left_held != right_held ? left_held < right_held
                                       : lanes_.at(left).front().id < lanes_.at(right).front().id;
    };
    // Lanes are ordered by use and size. In each of the four parts, the first request in turn blocks those after it.
    for (const memory_use use : {memory_use::response, memory_use::request_body})
    {
        for (const bool is_small : {true, false})
        {
            next.reset();
            for (auto at = lanes_.lower_bound({use, is_small, 0});
                 at != lanes_.end() && at->first.use == use && at->first.is_small == is_small; ++at)
            {
                if (is_within_share(at->first, at->second.front().bytes) && (!next || comes_before(at->first, *next)))
                {
                    next = at->first;
                }
            }
            if (next && fits(*next, lanes_.at(*next).front().bytes))
            {
                return next;
            }
        }
    }
    return std::nullopt;
}

void memory_budget::set_on_released(std::function<void()> on_released)
{
    on_released_ = std::move(on_released);
}

void memory_budget::add(const memory_request& request, bool is_small)
{
    if (request.bytes == 0)
    {
        return;
    }
    used_[index(request.use)] += request.bytes;
    holdings_[request.customer].bytes[index(request.use)][is_small ? 1 : 0] += request.bytes;
}

void memory_budget::subtract(const memory_request& request, bool is_small)
{
    if (request.bytes == 0)
    {
        // A customer without bytes has no entry.
        return;
    }
    used_[index(request.use)] -= request.bytes;
    const auto found = holdings_.find(request.customer);
    found->second.bytes[index(request.use)][is_small ? 1 : 0] -= request.bytes;
    if (found->second.bytes == holding{}.bytes)
    {
        holdings_.erase(found);
    }
    if (on_released_ && !lane_of_.empty())
    {
        on_released_();
    }
}

std::size_t memory_budget::limit(memory_use use, bool is_small) const noexcept
{
    const std::size_t reserve = bytes_ / 8;
    if (use == memory_use::request_body)
    {
        return bytes_ / 2 + (is_small ? reserve : 0);
    }
    return is_small ? bytes_ : bytes_ - reserve;
}

std::size_t memory_budget::free_bytes(memory_use use, bool is_small) const noexcept
{
    const auto rest = [](std::size_t most, std::size_t taken)
    {
        return most - std::min(most, taken);
    };
    const std::size_t total = rest(limit(memory_use::response, is_small), used());
    return use == memory_use::response ? total : std::min(total, rest(limit(use, is_small), used_[index(use)]));
}

std::size_t memory_budget::held(const lane& where) const
{
    const auto found = holdings_.find(where.customer);
    return found == holdings_.end() ? 0 : found->second.bytes[index(where.use)][where.is_small ? 1 : 0];
}

bool memory_budget::is_within_share(const lane& where, std::size_t bytes) const
{
    const std::size_t held_bytes = held(where);
    // The first request of a customer needs room only.
    return held_bytes == 0 || held_bytes + bytes <= free_bytes(where.use, where.is_small);
}

bool memory_budget::fits(const lane& where, std::size_t bytes) const noexcept
{
    return bytes <= free_bytes(where.use, where.is_small);
}

bool memory_budget::can_hold(memory_use use, std::size_t bytes) const noexcept
{
    return bytes <= limit(use, is_small_size(bytes));
}

duration memory_budget::retry_after(std::size_t bytes, time_point now)
{
    const auto milliseconds = static_cast<std::int64_t>(bytes * 1'000 / std::max<std::size_t>(bytes_ / 2, 1));
    const time_point first = now + min_retry;
    last_retry_ = std::max(last_retry_, first) + duration{std::max<std::int64_t>(milliseconds, 1)};
    if (last_retry_ > now + max_retry)
    {
        last_retry_ = first;
    }
    return last_retry_ - now;
}

std::size_t memory_budget::stream_backlog_bytes(std::size_t wanted) const noexcept
{
    const std::size_t part = free_bytes(memory_use::response, true) / stream_backlog_divisor;
    return std::min(wanted, std::max(part, min_counted_output_bytes));
}

} // namespace parsleyshift
