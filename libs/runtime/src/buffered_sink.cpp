#include <parsleyshift/runtime/buffered_sink.hpp> // buffered_sink

#include <fcntl.h>  // fcntl
#include <unistd.h> // write

namespace parsleyshift
{

buffered_sink::buffered_sink(int descriptor, std::size_t max_bytes) : descriptor_(descriptor), max_bytes_(max_bytes)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
    {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void buffered_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (buffer_.size() + message.payload.size() + 1 > max_bytes_)
    {
        ++dropped_;
        return;
    }
    buffer_.append(message.payload.data(), message.payload.size());
    buffer_ += '\n';
}

void buffered_sink::flush_()
{
    write_out();
}

void buffered_sink::write_out()
{
    if (buffer_.empty())
    {
        return;
    }
    const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (written > 0)
    {
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
    if (buffer_.empty() && dropped_ > dropped_reported_)
    {
        buffer_ = "{\"event\":\"log_lines_dropped\",\"count\":" + std::to_string(dropped_ - dropped_reported_) + "}\n";
        dropped_reported_ = dropped_;
    }
}

} // namespace parsleyshift
