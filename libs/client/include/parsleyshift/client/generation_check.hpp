#pragma once

#include <parsleyshift/client/caller_answer.hpp> // caller_problem
#include <parsleyshift/client/event_stream.hpp>  // stream_event

#include <cstdint>    // int64_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string

namespace parsleyshift
{

/// @brief Receives a streamed generation.
struct token_receiver
{
    /// Called once for each connection that carries the generation, with the instance's name; may be empty.
    std::function<void(const std::string& instance)> started;
    /// Called for each token, once and in order.
    std::function<void(const std::string& token)> token;
};

/// @brief Follows a streamed generation over all its connections and checks that each token comes once and in order.
class generation_check
{
  public:
    explicit generation_check(token_receiver sink) : sink_(std::move(sink)) {}

    /// @brief Takes an event. @return false when the connection has nothing more to say
    bool take(const stream_event& event);

    /// @brief Token to resume with; empty before the start event.
    [[nodiscard]] const std::string& continuation() const noexcept
    {
        return continuation_;
    }
    /// @brief Tokens received so far, which is the offset to resume at.
    [[nodiscard]] std::int64_t received() const noexcept
    {
        return received_;
    }
    /// @brief The end marker came and its count is right.
    [[nodiscard]] bool complete() const noexcept
    {
        return complete_;
    }
    /// @brief The error that ended the generation or this connection; taken by resuming.
    [[nodiscard]] const std::optional<caller_answer>& failure() const noexcept
    {
        return failure_;
    }
    /// @brief True when resuming can go on: the connection ended, but neither the generation nor the rules.
    [[nodiscard]] bool resumable() const;
    /// @brief Forgets the error of the last connection.
    void resume()
    {
        failure_.reset();
    }

  private:
    bool take_start(const nlohmann::json& data);
    bool take_tokens(const nlohmann::json& data);
    bool take_end(const nlohmann::json& data);
    bool violate(const std::string& what);

    token_receiver sink_;
    std::string generation_;
    std::string continuation_;
    std::int64_t received_ = 0;
    bool complete_ = false;
    bool violated_ = false;
    std::optional<caller_answer> failure_;
};

} // namespace parsleyshift
