#pragma once

#include <boost/outcome/basic_result.hpp>     // basic_result
#include <boost/outcome/policy/terminate.hpp> // terminate

#include <cstddef> // size_t
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace parsleyshift
{

/// @brief One error in a JSON document.
struct json_issue
{
    /// Path of the value, for example `operations[1].name`; empty for the document itself.
    std::string path;
    /// What is wrong, a phrase that follows the path, for example "must be a number".
    std::string reason;
    /// How to correct the document.
    std::string remedy;

    friend bool operator==(const json_issue&, const json_issue&) = default;
};

/// @brief The issues found in one document, bounded in number.
class json_issues
{
  public:
    /// Most issues kept; bounds the memory and the error message that an invalid document can cause.
    static constexpr std::size_t capacity = 100;

    /// @brief Adds an issue; has no effect when the list is full. Constant time.
    void add(std::string path, std::string reason, std::string remedy)
    {
        if (all_.size() < capacity)
        {
            all_.push_back({std::move(path), std::move(reason), std::move(remedy)});
        }
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return all_.empty();
    }
    /// @brief The issues in the order in which they were found.
    [[nodiscard]] const std::vector<json_issue>& all() const noexcept
    {
        return all_;
    }
    /// @brief All issues in one line, `path: reason (remedy)`, separated by "; ".
    [[nodiscard]] std::string text() const;

  private:
    std::vector<json_issue> all_;
};

/// @brief A value read from a document, or the issues found in it.
template <class T>
using read_result = boost::outcome_v2::basic_result<T, json_issues, boost::outcome_v2::policy::terminate>;

} // namespace parsleyshift
