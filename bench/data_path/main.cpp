// Measures what the daemon adds to a stream on loopback: a caller reads the same small token source directly and
// through a daemon process, in the same run. docs: data_path_bench --help

#include "relay_core.hpp"    // relay_core
#include "stream_client.hpp" // run_streams
#include "token_source.hpp"  // token_source

#include <parsleyshift/runtime/daemon_runtime.hpp> // daemon_runtime

#include <cxxopts.hpp> // Options

#include <sched.h>        // sched_setaffinity
#include <sys/resource.h> // setrlimit
#include <sys/wait.h>     // waitpid
#include <unistd.h>       // fork, pipe

#include <array>    // array
#include <chrono>   // milliseconds
#include <csignal>  // kill
#include <cstdio>   // printf
#include <fstream>  // ifstream
#include <iostream> // cerr
#include <string>   // string
#include <thread>   // sleep_for

namespace parsleyshift::bench
{

namespace
{

/// The daemon in a process of its own, so that its processor time and memory can be told from those of the caller and
/// the source.
class daemon_process
{
  public:
    daemon_process(std::uint16_t engine_port, bool one_core)
    {
        std::array<int, 2> ends{};
        if (pipe(ends.data()) != 0)
        {
            throw std::runtime_error("no pipe");
        }
        process_ = fork();
        if (process_ == 0)
        {
            serve(engine_port, one_core, ends[1]);
        }
        close(ends[1]);
        if (read(ends[0], &port_, sizeof port_) != sizeof port_)
        {
            throw std::runtime_error("the daemon did not start");
        }
        close(ends[0]);
    }
    ~daemon_process()
    {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }
    /// Processor time used so far, in seconds.
    [[nodiscard]] double cpu_seconds() const
    {
        std::ifstream file("/proc/" + std::to_string(process_) + "/stat");
        std::string field;
        // The name has no spaces; user and system time are the fields 14 and 15.
        double ticks = 0;
        for (int i = 1; i <= 15 && file >> field; ++i)
        {
            ticks += i >= 14 ? std::stod(field) : 0;
        }
        return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    [[nodiscard]] double resident_bytes() const
    {
        std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

  private:
    [[noreturn]] static void serve(std::uint16_t engine_port, bool one_core, int report)
    {
        if (one_core)
        {
            cpu_set_t cores;
            CPU_ZERO(&cores);
            CPU_SET(0, &cores);
            sched_setaffinity(0, sizeof cores, &cores);
        }
        daemon_settings settings;
        settings.instance = instance_id{"bench"};
        settings.caller_address = "127.0.0.1:0";
        settings.peer_address = "127.0.0.1:0";
        settings.log_level = "error";
        daemon_options options;
        options.silence_timeout = duration{120'000};
        relay_core core("127.0.0.1:" + std::to_string(engine_port));
        daemon_runtime<relay_core> instance(settings, options, core);
        if (instance.start().has_error())
        {
            _exit(1);
        }
        const std::uint16_t port = instance.caller_port();
        if (write(report, &port, sizeof port) != sizeof port)
        {
            _exit(1);
        }
        instance.wait();
        _exit(0);
    }

    pid_t process_ = -1;
    std::uint16_t port_ = 0;
};

double ms(std::int64_t nanoseconds)
{
    return static_cast<double>(nanoseconds) / 1e6;
}

void print_latency(const char* way, const stream_figures& seen)
{
    std::printf("  %-8s first token p50 %.3f ms p99 %.3f ms; transit p50 %.3f ms p99 %.3f ms\n", way,
                ms(percentile(seen.first_token, 0.5)), ms(percentile(seen.first_token, 0.99)),
                ms(percentile(seen.transit, 0.5)), ms(percentile(seen.transit, 0.99)));
}

void measure_latency(token_source& source, const daemon_process& served, const stream_load& load)
{
    std::printf("latency: %d streams, a token every %.1f ms, %lld tokens each\n", load.streams,
                static_cast<double>(load.interval_us) / 1000, static_cast<long long>(load.tokens));
    const stream_figures direct = run_streams(source.port(), "/generate", load);
    const double before = served.cpu_seconds();
    const stream_figures through = run_streams(served.port(), "/v1/generations", load);
    const double used = served.cpu_seconds() - before;
    print_latency("direct", direct);
    print_latency("daemon", through);
    const double seconds = static_cast<double>(through.elapsed) / 1e9;
    std::printf(
        "  added at p99: first token %.3f ms, transit %.3f ms; %.0f tokens/s with %.2f cores, %.1f us a token\n",
        ms(percentile(through.first_token, 0.99) - percentile(direct.first_token, 0.99)),
        ms(percentile(through.transit, 0.99) - percentile(direct.transit, 0.99)),
        static_cast<double>(through.tokens) / seconds, used / seconds,
        used * 1e6 / static_cast<double>(through.tokens));
}

void measure_throughput(token_source& source, const daemon_process& served, const stream_load& load)
{
    const stream_figures direct = run_streams(source.port(), "/generate", load);
    const double before = served.cpu_seconds();
    const stream_figures through = run_streams(served.port(), "/v1/generations", load);
    const double used = served.cpu_seconds() - before;
    const double count = static_cast<double>(through.tokens);
    std::printf(
        "throughput: %d streams without pause: direct %.0f tokens/s, daemon %.0f tokens/s, %.0f tokens per core "
        "second\n",
        load.streams, static_cast<double>(direct.tokens) * 1e9 / static_cast<double>(direct.elapsed),
        count * 1e9 / static_cast<double>(through.elapsed), count / used);
}

void measure_memory(const daemon_process& served, int streams)
{
    // The second token of each stream comes after the measurement, so that all streams are open and idle.
    const double before = served.resident_bytes();
    double open = 0;
    std::thread watcher(
        [&]
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{5'000});
            open = served.resident_bytes();
        });
    run_streams(served.port(), "/v1/generations", {streams, 2, 6'000'000, 2'000});
    watcher.join();
    std::printf("memory: %d open streams: %.1f KB a stream (%.1f MB before, %.1f MB with them)\n", streams,
                (open - before) / 1024 / streams, before / 1e6, open / 1e6);
}

int run(int argc, char** argv)
{
    cxxopts::Options options("data_path_bench", "Cost of the daemon on loopback against a direct connection.");
    auto add = options.add_options();
    add("latency", "streams for each latency run", cxxopts::value<std::vector<int>>()->default_value("10,100,1000"));
    add("interval-us", "time between the tokens of a stream", cxxopts::value<std::int64_t>()->default_value("63000"));
    add("open-ms", "time over which the streams of a latency run are opened",
        cxxopts::value<std::int64_t>()->default_value("2000"));
    add("tokens", "tokens of each stream of a latency run", cxxopts::value<std::int64_t>()->default_value("80"));
    add("throughput", "streams for each run without pause",
        cxxopts::value<std::vector<int>>()->default_value("16,256"));
    add("unpaced-tokens", "tokens of all streams of such a run",
        cxxopts::value<std::int64_t>()->default_value("4000000"));
    add("memory", "open streams for each memory run",
        cxxopts::value<std::vector<int>>()->default_value("10,1000,9900"));
    add("one-core", "pin the daemon to one core");
    add("help", "print this text");
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    token_source source;
    const bool one_core = given.count("one-core") != 0;
    for (const int streams : given["memory"].as<std::vector<int>>())
    {
        const daemon_process fresh(source.port(), one_core);
        measure_memory(fresh, streams);
    }
    const daemon_process served(source.port(), one_core);
    for (const int streams : given["latency"].as<std::vector<int>>())
    {
        measure_latency(source, served,
                        {streams, given["tokens"].as<std::int64_t>(), given["interval-us"].as<std::int64_t>(),
                         given["open-ms"].as<std::int64_t>()});
    }
    for (const int streams : given["throughput"].as<std::vector<int>>())
    {
        measure_throughput(source, served, {streams, given["unpaced-tokens"].as<std::int64_t>() / streams, 0, 0});
    }
    return 0;
}

} // namespace

} // namespace parsleyshift::bench

int main(int argc, char** argv)
{
    try
    {
        return parsleyshift::bench::run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
