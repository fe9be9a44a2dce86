#pragma once

#include <parsleyshift/core/clock.hpp>      // time_point, never
#include <parsleyshift/messages/action.hpp> // action
#include <parsleyshift/messages/event.hpp>  // event

#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace parsleyshift::bench
{

/// @brief Passes each generation on to one engine and its tokens back, without any decision, so that the measured cost
/// is that of the daemon's threads and sockets.
class relay_core
{
  public:
    explicit relay_core(std::string engine) : engine_(std::move(engine)) {}

    void handle(const event& what, time_point /*now*/, std::vector<action>& out)
    {
        std::visit([&](const auto& each) { on(each, out); }, what);
    }
    [[nodiscard]] time_point next_deadline() const noexcept
    {
        return never;
    }

  private:
    // The attempt has the number of its request.
    static request_id request_of(attempt_id attempt)
    {
        return request_id{attempt.value()};
    }
    static attempt_id attempt_of(request_id request)
    {
        return attempt_id{request.value()};
    }

    void on(const generation_request& asked, std::vector<action>& out) const
    {
        start_generation start;
        start.attempt = attempt_of(asked.request);
        start.address = engine_;
        start.prompt = asked.prompt;
        start.max_tokens = asked.max_tokens;
        out.emplace_back(std::move(start));
    }
    static void on(const attempt_started& started, std::vector<action>& out)
    {
        out.emplace_back(stream_started{request_of(started.attempt), "g", "c"});
    }
    static void on(const attempt_tokens& tokens, std::vector<action>& out)
    {
        out.emplace_back(stream_tokens{request_of(tokens.attempt), tokens.offset, tokens.tokens});
    }
    static void on(const attempt_ended& ended, std::vector<action>& out)
    {
        out.emplace_back(stream_ended{request_of(ended.attempt), ended.count});
    }
    static void on(const attempt_failed& failed, std::vector<action>& out)
    {
        request_rejected rejected;
        rejected.request = request_of(failed.attempt);
        rejected.what = outcome::failed;
        rejected.why = make_error(error_kind::endpoint_failed, failed.message);
        out.emplace_back(std::move(rejected));
    }
    static void on(const caller_stalled& stalled, std::vector<action>& out)
    {
        out.emplace_back(set_attempt_reading{attempt_of(stalled.request), false});
    }
    static void on(const caller_drained& drained, std::vector<action>& out)
    {
        out.emplace_back(set_attempt_reading{attempt_of(drained.request), true});
    }
    void on(const caller_disconnected& gone, std::vector<action>& out) const
    {
        out.emplace_back(cancel_attempt{attempt_of(gone.request), endpoint_id{}, engine_});
    }
    static void on(const stop_requested&, std::vector<action>& out)
    {
        out.emplace_back(stop_complete{});
    }
    template <class Other>
    static void on(const Other&, std::vector<action>&)
    {
    }

    std::string engine_;
};

} // namespace parsleyshift::bench
