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

/// @brief Turns the JSON lines of one generation into events. Lines that arrive together become one event.
class generation_sink final : public exchange_sink
{
  public:
    /// @param resumed the answer 404 then means that the engine does not know the attempt
    generation_sink(endpoint_client& client, attempt_id attempt, bool resumed);

    bool on_head(const response_head& head) override;
    bool on_body(std::string& body) override;
    void on_done(std::string& body) override;
    void on_failed(attempt_failure failure, std::string message) override;

  private:
    bool take_line(std::string_view line);
    void send_tokens();
    void end(event what);
    void fail(attempt_failure failure, std::string message);

    endpoint_client& client_;
    attempt_id attempt_;
    bool resumed_;
    bool ended_ = false;
    unsigned status_ = 0;
    /// Tokens of this batch.
    attempt_tokens batch_;
};

} // namespace parsleyshift
