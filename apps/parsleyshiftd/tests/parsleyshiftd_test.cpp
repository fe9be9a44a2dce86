#include <parsleyshift/core/ids.hpp>              // instance_id
#include <parsleyshift/records/read_settings.hpp> // write_settings

#include "stop_signals.hpp" // stop_signals

#include <sys/wait.h> // waitpid
#include <unistd.h>   // fork, execv, pipe

#include <array>   // array
#include <atomic>  // atomic
#include <chrono>  // seconds
#include <csignal> // raise, kill
#include <cstdio>  // tmpfile
#include <fstream> // ofstream
#include <future>  // promise
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

#include "CppUTest/TestHarness.h" // TEST

using namespace parsleyshift;

namespace
{

/// The daemon as a process of its own, with its output in a pipe.
class program
{
  public:
    explicit program(std::vector<std::string> arguments)
    {
        std::array<int, 2> ends{};
        CHECK_EQUAL(0, pipe(ends.data()));
        process_ = fork();
        if (process_ == 0)
        {
            dup2(ends[1], STDOUT_FILENO);
            dup2(ends[1], STDERR_FILENO);
            close(ends[0]);
            close(ends[1]);
            arguments.insert(arguments.begin(), PROGRAM);
            std::vector<char*> pointers;
            for (auto& each : arguments)
            {
                pointers.push_back(each.data());
            }
            pointers.push_back(nullptr);
            execv(PROGRAM, pointers.data());
            _exit(127);
        }
        close(ends[1]);
        output_ = fdopen(ends[0], "r");
    }
    ~program()
    {
        std::fclose(output_);
    }
    program(const program&) = delete;
    program& operator=(const program&) = delete;
    program(program&&) = delete;
    program& operator=(program&&) = delete;

    /// The next line of output; empty at its end.
    std::string line()
    {
        std::string text;
        for (int byte = std::fgetc(output_); byte != EOF && byte != '\n'; byte = std::fgetc(output_))
        {
            text += static_cast<char>(byte);
        }
        return text;
    }
    std::string all()
    {
        std::string text;
        for (std::string next = line(); !next.empty(); next = line())
        {
            text += next + "\n";
        }
        return text;
    }
    void signal(int number) const
    {
        kill(process_, number);
    }
    int exit_code()
    {
        int status = 0;
        waitpid(process_, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

  private:
    pid_t process_ = -1;
    std::FILE* output_ = nullptr;
};

/// A settings file that is removed at the end of the test.
class settings_file
{
  public:
    explicit settings_file(const std::string& text)
    {
        std::string name = "/tmp/parsleyshiftd_test.XXXXXX";
        close(mkstemp(name.data()));
        path = name;
        std::ofstream(path) << text;
    }
    ~settings_file()
    {
        unlink(path.c_str());
    }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;
    settings_file(settings_file&&) = delete;
    settings_file& operator=(settings_file&&) = delete;

    std::string path;
};

std::string good_settings()
{
    daemon_settings settings;
    settings.instance = instance_id{"one"};
    settings.availability_zone = zone_id{"zone"};
    settings.region = region_id{"region"};
    settings.caller_address = "127.0.0.1:0";
    settings.peer_address = "127.0.0.1:0";
    settings.configuration_service = "127.0.0.1:1";
    settings.instance_list = "127.0.0.1:1";
    settings.token_keys = {{"first", "0123456789abcdef0123456789abcdef"}};
    settings.operator_key = "0123456789abcdef0123456789abcdef";
    return write_settings(settings);
}

} // namespace

TEST_GROUP(parsleyshiftd){};

// Guards against a check that stops at the first mistake, and against an exit code that a script cannot use.
TEST(parsleyshiftd, check_lists_every_mistake)
{
    const settings_file good(good_settings());
    program checked({"--settings", good.path, "--check"});
    const std::string said = checked.all();
    CHECK_EQUAL(0, checked.exit_code());
    CHECK_TRUE_TEXT(said.find("correct") != std::string::npos, said.c_str());
    const settings_file bad(R"({"caller_address":"nowhere","log_level":7,"colour":"green"})");
    program refused({"--settings", bad.path, "--check"});
    const std::string mistakes = refused.all();
    CHECK_EQUAL(1, refused.exit_code());
    for (const char* field : {"caller_address", "log_level", "colour", "instance"})
    {
        CHECK_TRUE_TEXT(mistakes.find(field) != std::string::npos, mistakes.c_str());
    }
}

// Guards against command lines that are accepted without meaning.
TEST(parsleyshiftd, wrong_command_lines_are_refused)
{
    program version({"--version"});
    CHECK_EQUAL(0, static_cast<int>(version.all().find("parsleyshiftd ")));
    CHECK_EQUAL(0, version.exit_code());
    program nothing({});
    CHECK(nothing.all().find("--settings") != std::string::npos);
    CHECK_EQUAL(1, nothing.exit_code());
    program unknown({"--colour"});
    CHECK_EQUAL(1, unknown.exit_code());
    program absent({"--settings", "/nonexistent/file"});
    CHECK(absent.all().find("file_unreadable") != std::string::npos);
    CHECK_EQUAL(1, absent.exit_code());
}

// Guards against a planned stop that ends with an error or does not end.
TEST(parsleyshiftd, a_signal_plans_a_stop_that_ends_with_success)
{
    for (const int number : {SIGTERM, SIGINT})
    {
        const settings_file good(good_settings());
        program running({"--settings", good.path});
        const std::string first = running.line();
        CHECK_TRUE_TEXT(first.find("instance_started") != std::string::npos, first.c_str());
        running.signal(number);
        const std::string rest = running.all();
        CHECK_EQUAL(0, running.exit_code());
        CHECK_TRUE_TEXT(rest.find("stop_finished") != std::string::npos, rest.c_str());
    }
}

// Guards against a second signal that is taken for another planned stop.
TEST(parsleyshiftd, the_second_signal_is_told_from_the_first)
{
    std::promise<void> first;
    std::promise<void> again;
    const stop_signals signals([&first] { first.set_value(); }, [&again] { again.set_value(); });
    const auto came = [](std::promise<void>& what)
    {
        return what.get_future().wait_for(std::chrono::seconds{60}) == std::future_status::ready;
    };
    std::raise(SIGTERM);
    CHECK_TRUE(came(first));
    std::raise(SIGINT);
    CHECK_TRUE(came(again));
}
