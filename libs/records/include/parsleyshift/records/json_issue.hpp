#pragma once

#include <boost/outcome/basic_result.hpp>     // basic_result
#include <boost/outcome/policy/terminate.hpp> // terminate

#include <cstddef> // size_t
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace parsleyshift
{

/// @brief One mistake in a JSON document.
struct json_issue
{
    /// Place in the document, for example `operations[1].name`; empty for the document itself.
    std::string path;
    std::string reason;
    /// What the author of the document should do.
    std::string remedy;

    friend bool operator==(const json_issue&, const json_issue&) = default;
};

/// @brief The mistakes found in one document, bounded in number.
class json_issues
{
  public:
    /// A hostile document cannot make the list longer than this.
    static constexpr std::size_t capacity = 100;

    /// @brief Adds a mistake; dropped when the list is full. Constant time.
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
    [[nodiscard]] const std::vector<json_issue>& all() const noexcept
    {
        return all_;
    }
    /// @brief All mistakes in one line, `path: reason (remedy)`, separated by "; ".
    [[nodiscard]] std::string text() const;

  private:
    std::vector<json_issue> all_;
};

/// @brief A value read from a document, or every mistake found in it.
template <class T>
using read_result = boost::outcome_v2::basic_result<T, json_issues, boost::outcome_v2::policy::terminate>;

} // namespace parsleyshift
