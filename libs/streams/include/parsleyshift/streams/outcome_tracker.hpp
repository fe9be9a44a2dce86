#pragma once

#include <parsleyshift/messages/endpoint.hpp> // attempt_failure, proves_not_run
#include <parsleyshift/messages/request.hpp>  // outcome

namespace parsleyshift
{

/// @brief Derives the outcome of a request that ends without an answer from the results of its attempts.
///
/// The outcome is not_run only when every attempt is proven not to have run.
class outcome_tracker
{
  public:
    /// @brief Records that an attempt was passed to the I/O thread, which may send it from now on.
    void attempt_sent() noexcept
    {
        ++unproven_attempts_;
    }
    /// @brief Records proof from the endpoint that the attempt runs or ran.
    void attempt_ran() noexcept
    {
        proven_to_run_ = true;
    }
    /// @brief Records the failure of an attempt.
    void attempt_failed(attempt_failure failure) noexcept
    {
        if (proves_not_run(failure) && unproven_attempts_ > 0)
        {
            --unproven_attempts_;
        }
        if (failure == attempt_failure::endpoint_error)
        {
            proven_to_run_ = true;
        }
    }
    /// @brief Outcome if the request ended now without a complete answer.
    [[nodiscard]] outcome without_answer() const noexcept
    {
        if (proven_to_run_)
        {
            return outcome::failed;
        }
        return unproven_attempts_ > 0 ? outcome::unknown : outcome::not_run;
    }

  private:
    /// Attempts that were sent and are not proven not to have run.
    int unproven_attempts_ = 0;
    bool proven_to_run_ = false;
};

} // namespace parsleyshift
