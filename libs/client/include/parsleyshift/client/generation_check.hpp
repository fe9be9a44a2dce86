#pragma once

#include <parsleyshift/client/caller_answer.hpp> // caller_problem
#include <parsleyshift/client/event_stream.hpp>  // stream_event

#include <cstdint>    // int64_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string

namespace parsleyshift
{

/// @brief Callbacks for a streamed generation.
struct token_receiver
{
    /// Called for each connection that carries the generation, with the name of the instance. May be unset.
    std::function<void(const std::string& instance)> started;
    /// Called once for each token, in order. Must be set.
    std::function<void(const std::string& token)> token;
};

/// @brief Processes the events of a streamed generation over all its connections and checks that each token arrives
/// once and in order.
class generation_check
{
  public:
    explicit generation_check(token_receiver receiver) : receiver_(std::move(receiver)) {}

    /// @brief Processes an event.
    /// @return false if no further events of this connection are to be read
    bool handle(const stream_event& event);

    /// @brief Continuation token for resuming; empty before the start event.
    [[nodiscard]] const std::string& continuation() const noexcept
    {
        return continuation_;
    }
    /// @brief Number of tokens received so far, which is the offset to resume at.
    [[nodiscard]] std::int64_t received() const noexcept
    {
        return received_;
    }
    /// @brief True if the end marker has arrived and its count is correct.
    [[nodiscard]] bool complete() const noexcept
    {
        return complete_;
    }
    /// @brief The error that ended the generation or the current connection; cleared by resume().
    [[nodiscard]] const std::optional<caller_answer>& failure() const noexcept
    {
        return failure_;
    }
    /// @brief True if the generation can be resumed: it is incomplete, all events were valid, and it was interrupted by
    /// a broken connection or a stopping instance.
    [[nodiscard]] bool resumable() const;
    /// @brief Clears the error of the last connection before the generation is resumed.
    void resume()
    {
        failure_.reset();
    }

  private:
    bool handle_start(const nlohmann::json& data);
    bool handle_tokens(const nlohmann::json& data);
    bool handle_end(const nlohmann::json& data);
    bool fail(const std::string& what);

    token_receiver receiver_;
    std::string generation_;
    std::string continuation_;
    std::int64_t received_ = 0;
    bool complete_ = false;
    bool invalid_ = false;
    std::optional<caller_answer> failure_;
};

} // namespace parsleyshift
