#include <parsleyshift/runtime/buffered_sink.hpp> // buffered_sink

#include <fcntl.h>  // fcntl
#include <unistd.h> // write

namespace parsleyshift
{

buffered_sink::buffered_sink(int descriptor, std::size_t bound) : descriptor_(descriptor), bound_(bound)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
    {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void buffered_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (held_.size() + message.payload.size() + 1 > bound_)
    {
        ++dropped_;
        return;
    }
    held_.append(message.payload.data(), message.payload.size());
    held_ += '\n';
}

void buffered_sink::flush_()
{
    write_out();
}

void buffered_sink::write_out()
{
    if (held_.empty())
    {
        return;
    }
    const auto written = ::write(descriptor_, held_.data(), held_.size());
    if (written > 0)
    {
        held_.erase(0, static_cast<std::size_t>(written));
    }
    if (held_.empty() && dropped_ > dropped_reported_)
    {
        held_ = "{\"event\":\"log_lines_dropped\",\"count\":" + std::to_string(dropped_ - dropped_reported_) + "}\n";
        dropped_reported_ = dropped_;
    }
}

} // namespace parsleyshift
