#include "stop_signals.hpp" // stop_signals

#include <csignal> // SIGINT, SIGTERM
#include <utility> // move

namespace parsleyshift
{

stop_signals::stop_signals(std::function<void()> first, std::function<void()> again)
    : first_(std::move(first)), again_(std::move(again)), signals_(context_, SIGTERM, SIGINT)
{
    wait();
    thread_ = std::thread([this] { context_.run(); });
}

stop_signals::~stop_signals()
{
    context_.stop();
    thread_.join();
}

void stop_signals::wait()
{
    signals_.async_wait(
        [this](const boost::system::error_code& failure, int)
        {
            if (failure)
            {
                return;
            }
            if (std::exchange(seen_, true))
            {
                again_();
            }
            else
            {
                first_();
            }
            wait();
        });
}

} // namespace parsleyshift
