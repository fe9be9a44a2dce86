#include <parsleyshift/forwarding/response_memory.hpp> // response_memory

#include <charconv>     // from_chars
#include <system_error> // errc
#include <utility>      // move

namespace parsleyshift
{

namespace
{

std::optional<std::size_t> announced_length(const response_head& head)
{
    const auto field = head[boost::beast::http::field::content_length];
    const char* end = field.data() + field.size();
    std::size_t length = 0;
    const auto parsed = std::from_chars(field.data(), end, length);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{length} : std::nullopt;
}

} // namespace

response_memory::response_memory(memory_budget* budget, std::function<void(bool)> set_reading)
    : budget_(budget), set_reading_(std::move(set_reading))
{
}

response_memory::~response_memory()
{
    stop_waiting();
}

bool response_memory::begin(const response_head& head, customer_hash customer)
{
    customer_ = customer;
    length_ = announced_length(head);
    if (length_.value_or(0) > max_response_bytes)
    {
        return false;
    }
    reserve(0);
    return true;
}

void response_memory::reserve(std::size_t received)
{
    const std::size_t unannounced =
        received <= memory_budget::small_bytes ? memory_budget::small_bytes : max_response_bytes;
    const std::size_t needed = length_.value_or(unannounced);
    if (budget_ == nullptr || share_.bytes() >= needed)
    {
        return;
    }
    const memory_request wanted{memory_use::response, customer_, needed};
    if (auto share = waiter_ ? std::nullopt : budget_->take(wanted))
    {
        share_ = std::move(*share);
        return;
    }
    if (!waiter_)
    {
        // Without a time limit: the core ends the attempt at the request's deadline.
        waiter_ = budget_->wait(wanted, never,
                                [this](std::optional<memory_share> share)
                                {
                                    waiter_.reset();
                                    share_ = std::move(share.value());
                                    set_reading_(true);
                                });
    }
    set_reading_(false);
}

void response_memory::count(std::size_t bytes)
{
    if (share_.bytes() > 0)
    {
        share_.resize(bytes);
    }
    else if (budget_ != nullptr && bytes >= memory_budget::min_counted_output_bytes)
    {
        share_ = budget_->charge({memory_use::response, customer_, bytes});
    }
}

void response_memory::stop_waiting()
{
    if (waiter_)
    {
        budget_->cancel(*waiter_);
        waiter_.reset();
    }
}

} // namespace parsleyshift
