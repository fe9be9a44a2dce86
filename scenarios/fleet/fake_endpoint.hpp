#pragma once

#include "history.hpp" // history

#include <parsleyshift/messages/action.hpp> // start_generation, start_call
#include <parsleyshift/messages/event.hpp>  // event

#include <functional> // function
#include <map>        // map
#include <set>        // set
#include <string>     // string

namespace parsleyshift::scenarios
{

/// @brief Settings of a fake engine or plain service.
struct endpoint_settings
{
    std::string name;
    std::string service;
    std::string availability_zone;
    std::string region;
    bool engine = true;
    /// Tokens of each generation; a prompt "name*N" gives N tokens instead.
    std::int64_t length = 20;
    duration token_interval{20};
    std::int64_t slots = 8;
    bool checks_keys = false;
};

/// @brief An engine or a plain service in virtual time, reduced to what the promises depend on.
///
/// A prompt or payload that contains "crash" kills the endpoint that runs it.
class fake_endpoint
{
  public:
    /// Sends an event to an instance that is connected, after the link's delay.
    using reply = std::function<void(const std::string& instance, event&& what)>;
    /// Runs a step of the endpoint after a time.
    using later = std::function<void(duration wait, std::function<void()> step)>;

    fake_endpoint(endpoint_settings settings, history& seen, reply answer, later schedule);

    void generate(const std::string& from, const start_generation& asked, time_point now);
    void resume(const std::string& from, const resume_generation& asked);
    void cancel(attempt_id attempt);
    void call(const std::string& from, const start_call& asked, time_point now);
    void leave(time_point now);
    void die();
    void restart();
    void set_slowness(int factor)
    {
        slowness_ = factor;
    }
    [[nodiscard]] load_report report(time_point now) const;
    [[nodiscard]] bool alive() const noexcept
    {
        return alive_;
    }
    [[nodiscard]] bool leaving() const noexcept
    {
        return leaving_since_ != never;
    }
    [[nodiscard]] const endpoint_settings& settings() const noexcept
    {
        return settings_;
    }

  private:
    struct running
    {
        std::string prompt;
        std::string reader;
        std::int64_t length = 0;
        std::int64_t produced = 0;
        std::int64_t sent = 0;
    };

    bool refuse(const std::string& from, attempt_id attempt, time_point now);
    void produce(attempt_id attempt);
    void send_tokens(attempt_id attempt, running& run);
    void crash(const std::string& prompt);

    endpoint_settings settings_;
    history& seen_;
    reply answer_;
    later schedule_;
    std::map<attempt_id, running> running_;
    /// Calls in progress and who waits for them.
    std::map<attempt_id, std::string> open_calls_;
    std::map<std::string, std::string> results_by_key_;
    bool alive_ = true;
    time_point leaving_since_ = never;
    int slowness_ = 1;
};

} // namespace parsleyshift::scenarios
