#include "http_server.hpp" // serve, exchange
#include "standin.hpp"     // run_store

#include <algorithm> // max
#include <chrono>    // milliseconds
#include <iostream>  // cout
#include <memory>    // shared_ptr
#include <mutex>     // mutex
#include <thread>    // sleep_for

namespace parsleyshift::standins
{
namespace
{

/// Serves reads one after the other at a rate; `GET /weights/MODEL?bytes=N` answers when N bytes would have been read.
class weight_store
{
  public:
    explicit weight_store(std::int64_t bytes_per_second)
        : bytes_per_second_(std::max<std::int64_t>(bytes_per_second, 1))
    {
    }

    void handle(exchange& call)
    {
        const std::string model = call.path_after("/weights/");
        const auto bytes = call.query_number("bytes", 0);
        if (model.empty() || call.method() != "GET" || bytes < 0)
        {
            call.reply(404, {{"error", "read /weights/MODEL?bytes=N"}});
            return;
        }
        const std::int64_t end_ms = reserve(bytes);
        if (end_ms - now_ms() > longest_wait_ms)
        {
            call.reply(503, {{"error", "too many bytes are being read"}});
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{std::max<std::int64_t>(end_ms - now_ms(), 0)});
        call.reply(200, {{"model", model}, {"bytes", bytes}});
    }

  private:
    static constexpr std::int64_t longest_wait_ms = 120'000;

    std::int64_t reserve(std::int64_t bytes)
    {
        const std::lock_guard lock{mutex_};
        const std::int64_t start_ms = std::max(now_ms(), busy_until_ms_);
        const std::int64_t end_ms =
            start_ms + bytes / bytes_per_second_ * 1000 + bytes % bytes_per_second_ * 1000 / bytes_per_second_;
        if (end_ms - now_ms() <= longest_wait_ms)
        {
            busy_until_ms_ = end_ms;
        }
        return end_ms;
    }

    std::mutex mutex_;
    std::int64_t bytes_per_second_;
    std::int64_t busy_until_ms_ = 0;
};

} // namespace

int run_store(int argc, char** argv)
{
    cxxopts::Options options{"standins store", "A weight store with a rate"};
    auto add = options.add_options();
    add("address", "ip:port to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("rate", "bytes per second", cxxopts::value<std::int64_t>()->default_value("1000000000"));
    add("help", "print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto store = std::make_shared<weight_store>(parsed["rate"].as<std::int64_t>());
    return serve("store", parsed["address"].as<std::string>(),
                 {[store](exchange& call) { store->handle(call); }, [](const std::string&) {},
                  [] {
                  }});
}

} // namespace parsleyshift::standins
