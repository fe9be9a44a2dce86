#include <parsleyshift/runtime/startup_signals.hpp> // hold_startup_signals

#include <array>   // array
#include <csignal> // signal

namespace parsleyshift
{
namespace
{

struct held_signal
{
    int number = 0;
    volatile std::sig_atomic_t is_pending = 0;
};

// A signal handler can reach nothing but objects of static storage.
std::array<held_signal, 3> held{held_signal{SIGTERM}, held_signal{SIGINT}, held_signal{SIGHUP}};

extern "C" void record_signal(int number)
{
    for (held_signal& each : held)
    {
        if (each.number == number)
        {
            each.is_pending = 1;
        }
    }
}

} // namespace

void hold_startup_signals() noexcept
{
    for (const held_signal& each : held)
    {
        std::signal(each.number, record_signal);
    }
}

bool is_stop_held() noexcept
{
    return held[0].is_pending != 0 || held[1].is_pending != 0;
}

std::vector<int> take_startup_signals()
{
    std::vector<int> taken;
    for (held_signal& each : held)
    {
        if (each.is_pending != 0)
        {
            each.is_pending = 0;
            taken.push_back(each.number);
        }
    }
    return taken;
}

} // namespace parsleyshift
