#pragma once

#include <parsleyshift/runtime/http_client.hpp>   // response_head
#include <parsleyshift/runtime/memory_budget.hpp> // memory_budget

#include <cstddef>    // size_t
#include <functional> // function
#include <optional>   // optional

namespace parsleyshift
{

/// @brief The bytes of a memory budget that one response holds until it is passed on to its caller.
class response_memory
{
  public:
    /// Largest response that is buffered until it is complete.
    static constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;

    /// @param budget null without a limit of the memory; must outlive the object
    /// @param set_reading pauses and resumes reading the response
    response_memory(memory_budget* budget, std::function<void(bool)> set_reading);
    ~response_memory();
    response_memory(const response_memory&) = delete;
    response_memory& operator=(const response_memory&) = delete;
    response_memory(response_memory&&) = delete;
    response_memory& operator=(response_memory&&) = delete;

    /// @brief The head of a response has arrived. Takes a share for the length that it announces.
    /// @return false when the length exceeds max_response_bytes
    bool begin(const response_head& head, customer_hash customer);
    /// @brief Takes a share for a response of which `received` bytes have arrived; pauses reading until there is one. A
    /// response without a length counts as small until it is not, and then with the largest size, so that a response
    /// with a share can be read to its end.
    void reserve(std::size_t received);
    /// @brief Counts bytes that have arrived, in place of the share taken for them.
    void count(std::size_t bytes);
    /// @brief Ends a wait for a share.
    void stop_waiting();

  private:
    memory_budget* budget_;
    std::function<void(bool)> set_reading_;
    customer_hash customer_ = 0;
    std::optional<std::size_t> length_;
    memory_share share_;
    std::optional<memory_budget::waiter_id> waiter_;
};

} // namespace parsleyshift
