#pragma once

#include <parsleyshift/client/caller.hpp>         // caller, caller_options
#include <parsleyshift/client/http_transport.hpp> // http_transport

#include <cxxopts.hpp> // Options, ParseResult

#include <string> // string

namespace parsleyshift::ctl
{

/// @brief Exit codes of the program.
enum class exit_code
{
    completed = 0,
    usage = 2,
    not_run = 3,
    failed = 4,
    unknown = 5,
    unreachable = 6,
};

/// @brief The options of one command, with those that all commands share.
class command_line
{
  public:
    /// @param name of the command @param about one sentence for the help text
    command_line(const std::string& name, const std::string& about);

    /// @brief For adding options before parse().
    cxxopts::Options& options()
    {
        return options_;
    }
    /// @brief Parses the arguments and prints the help text if asked for.
    /// @return false when the command has nothing left to do
    bool parse(int argc, char** argv);

    [[nodiscard]] std::string text(const std::string& name) const;
    /// @brief The value of an option that must be given; throws std::invalid_argument otherwise.
    [[nodiscard]] std::string needed(const std::string& name) const;
    [[nodiscard]] std::int64_t number(const std::string& name) const;
    [[nodiscard]] bool flag(const std::string& name) const;
    [[nodiscard]] bool given(const std::string& name) const;
    /// @brief All output is JSON.
    [[nodiscard]] bool json() const
    {
        return flag("json");
    }
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] caller_options caller() const;
    [[nodiscard]] http_transport transport() const;

  private:
    cxxopts::Options options_;
    cxxopts::ParseResult parsed_;
};

/// @brief Prints an answer: the result on standard output, why there is none on standard error.
/// @param member member of the body to print when not in JSON; empty: the whole body
exit_code print_answer(const command_line& line, const caller_answer& answer, const std::string& member);

exit_code run_entry(int argc, char** argv);
exit_code run_generate(int argc, char** argv);
exit_code run_call(int argc, char** argv);
exit_code run_order_key(int argc, char** argv);
exit_code run_order(int argc, char** argv);
exit_code run_order_status(int argc, char** argv);
exit_code run_status(int argc, char** argv);
exit_code run_top(int argc, char** argv);
exit_code run_explain(int argc, char** argv);
exit_code run_stop(int argc, char** argv);
exit_code run_check(int argc, char** argv);
exit_code run_diff(int argc, char** argv);
exit_code run_schema(int argc, char** argv);

} // namespace parsleyshift::ctl
