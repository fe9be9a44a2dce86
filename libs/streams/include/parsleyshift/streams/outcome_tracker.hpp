#pragma once

#include <parsleyshift/messages/endpoint.hpp> // attempt_failure, proves_not_run
#include <parsleyshift/messages/request.hpp>  // outcome

namespace parsleyshift
{

/// @brief Collects what is known about the attempts of one request and names the outcome if it ends without an answer.
///
/// not_run is reported only when every attempt is proven not to have run.
class outcome_tracker
{
  public:
    /// @brief An attempt was handed to the I/O thread; bytes may leave from now on.
    void attempt_sent() noexcept
    {
        ++open_;
    }
    /// @brief The endpoint showed that the attempt runs or ran.
    void attempt_ran() noexcept
    {
        ran_ = true;
    }
    /// @brief An attempt has failed.
    void attempt_failed(attempt_failure failure) noexcept
    {
        if (proves_not_run(failure) && open_ > 0)
        {
            --open_;
        }
        if (failure == attempt_failure::endpoint_error)
        {
            ran_ = true;
        }
    }
    /// @brief Outcome if the request ended now without a complete answer.
    [[nodiscard]] outcome without_answer() const noexcept
    {
        if (ran_)
        {
            return outcome::failed;
        }
        return open_ > 0 ? outcome::unknown : outcome::not_run;
    }

  private:
    int open_ = 0;
    bool ran_ = false;
};

} // namespace parsleyshift
