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
// poll() takes an int; a longer sleep is divided.
constexpr std::int64_t longest_sleep_ms = 60'000;
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
    const std::uint64_t one = 1;
    // Fails only when the counter is full, and then the sleeper wakes as well.
    [[maybe_unused]] const auto written = write(descriptor_, &one, sizeof one);
}

void wakeup::sleep(time_point until) const
{
    // An unreachable deadline would overflow the difference.
    const bool is_far = until > millisecond_clock::now() + duration{longest_sleep_ms};
    const std::int64_t rest = is_far ? longest_sleep_ms : (until - millisecond_clock::now()).count();
    pollfd watched{descriptor_, POLLIN, 0};
    if (poll(&watched, 1, static_cast<int>(std::clamp<std::int64_t>(rest, 0, longest_sleep_ms))) > 0)
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto taken = read(descriptor_, &count, sizeof count);
    }
}

} // namespace parsleyshift
