#include <parsleyshift/runtime/wakeup.hpp> // wakeup

#include <poll.h>        // poll
#include <sys/eventfd.h> // eventfd
#include <unistd.h>      // read, write, close

#include <algorithm>    // clamp
#include <cerrno>       // errno
#include <cstdint>      // uint64_t
#include <system_error> // system_error

namespace parsleyshift
{

namespace
{
// Keeps the timeout in the int range of poll(); wait() returns early from a longer sleep.
constexpr std::int64_t max_poll_timeout_ms = 60'000;
} // namespace

wakeup::wakeup() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (descriptor_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

wakeup::~wakeup()
{
    close(descriptor_);
}

void wakeup::notify()
{
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (!sleeping_.load() || !sleeping_.exchange(false))
    {
        return;
    }
    const std::uint64_t increment = 1;
    // Fails only when the counter is at its maximum; the descriptor is then readable and poll() returns anyway.
    [[maybe_unused]] const auto written = write(descriptor_, &increment, sizeof increment);
}

void wakeup::sleep(time_point until) const
{
    // Subtracting from the deadline `never` would overflow.
    const bool exceeds_poll_timeout = until > millisecond_clock::now() + duration{max_poll_timeout_ms};
    const std::int64_t timeout_ms =
        exceeds_poll_timeout ? max_poll_timeout_ms : (until - millisecond_clock::now()).count();
    pollfd watched{descriptor_, POLLIN, 0};
    if (poll(&watched, 1, static_cast<int>(std::clamp<std::int64_t>(timeout_ms, 0, max_poll_timeout_ms))) > 0)
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto read_size = read(descriptor_, &count, sizeof count);
    }
}

} // namespace parsleyshift
