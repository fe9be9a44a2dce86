#include <parsleyshift/client/caller_answer.hpp> // caller_answer

#include <parsleyshift/client/json_member.hpp> // member_or

#include <algorithm> // clamp
#include <cstddef>   // size_t
#include <cstdint>   // int64_t
#include <utility>   // move

namespace parsleyshift
{
namespace
{

/// Instances read from an entry answer; further ones are ignored.
constexpr std::size_t max_entries = 64;
/// Upper limit of the time for which an entry answer is cached.
constexpr std::int64_t max_ttl_ms = 3'600'000;

} // namespace

caller_problem read_problem(const nlohmann::json& body)
{
    caller_problem problem;
    const auto kind = value_of<error_kind>(member_or<std::string>(body, "kind", ""));
    problem.kind = kind.value_or(error_kind::internal);
    problem.message = member_or<std::string>(body, "message", "the error answer has no message");
    problem.remedy = member_or<std::string>(body, "remedy", std::string{remedy_of(problem.kind)});
    const auto retry_after = member_or<std::int64_t>(body, "retry_after_ms", -1);
    if (retry_after >= 0)
    {
        problem.retry_after = duration{retry_after};
    }
    return problem;
}

caller_answer read_caller_answer(const client_response& answer)
{
    caller_answer read;
    read.body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!read.body.is_object())
    {
        read.body = nullptr;
    }
    const bool success = answer.status >= 200 && answer.status < 300;
    const auto reported = value_of<outcome>(member_or<std::string>(read.body, "outcome", ""));
    // For answers without an outcome, such as entry answers, the HTTP status decides.
    read.what = reported.value_or(success ? outcome::completed : outcome::unknown);
    if (read.what != outcome::completed)
    {
        read.why = read_problem(read.body);
    }
    return read;
}

std::optional<entry_list> read_entry_list(const nlohmann::json& body, time_point now)
{
    entry_list list;
    if (!body.is_object() || !body.contains("entries") || !body["entries"].is_array())
    {
        return std::nullopt;
    }
    for (const nlohmann::json& row : body["entries"])
    {
        entry_address entry{member_or<std::string>(row, "instance", ""), member_or<std::string>(row, "address", ""),
                            member_or<std::string>(row, "availability_zone", "")};
        if (!entry.address.empty() && list.entries.size() < max_entries)
        {
            list.entries.push_back(std::move(entry));
        }
    }
    list.token = member_or<std::string>(body, "token", "");
    const auto keep_ms = member_or<std::int64_t>(body, "keep_ms", 0);
    list.expires_at = now + duration{std::clamp<std::int64_t>(keep_ms, 0, max_ttl_ms)};
    return list.entries.empty() ? std::nullopt : std::optional{std::move(list)};
}

caller_answer failed_answer(outcome what, const error& cause)
{
    caller_answer failed;
    failed.what = what;
    failed.why = caller_problem{cause.kind, cause.detail, std::string{remedy_of(cause.kind)}, cause.retry_after};
    return failed;
}

bool is_retryable(const caller_answer& answer)
{
    if (answer.what != outcome::not_run || !answer.why.has_value())
    {
        return false;
    }
    // The error kinds 200 to 299 are temporary rejections; see error_kind.
    const int code = static_cast<int>(answer.why->kind);
    return code >= 200 && code < 300 && answer.why->kind != error_kind::quarantined;
}

} // namespace parsleyshift
