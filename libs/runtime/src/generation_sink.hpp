#pragma once

#include <parsleyshift/runtime/http_client.hpp> // exchange_sink

#include <parsleyshift/core/ids.hpp>       // attempt_id
#include <parsleyshift/messages/event.hpp> // attempt_tokens

#include <cstdint>     // int64_t
#include <string>      // string
#include <string_view> // string_view

namespace parsleyshift
{

class endpoint_client;

/// @brief Converts the JSON lines of one generation into events. Token lines received together become one event.
class generation_sink final : public exchange_sink
{
  public:
    /// @param resumed whether the exchange resumes an attempt; status 404 then means attempt_unknown
    generation_sink(endpoint_client& client, attempt_id attempt, bool resumed);

    head_verdict on_head(const response_head& head, bool reused_connection) override;
    bool on_body(std::string& body) override;
    void on_done(std::string& body, answer_end end) override;
    void on_failed(attempt_failure failure, std::string message) override;

  private:
    /// Returns false when the line is malformed; the attempt has then failed.
    bool handle_line(std::string_view line);
    void flush_tokens();
    /// Removes the attempt and emits its last event.
    void finish(event last_event);
    void fail(attempt_failure failure, std::string message);

    endpoint_client& client_;
    attempt_id attempt_;
    bool resumed_;
    bool ended_ = false;
    unsigned status_ = 0;
    /// Tokens received and not yet emitted.
    attempt_tokens batch_;
};

} // namespace parsleyshift
