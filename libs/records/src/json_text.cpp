#include <parsleyshift/records/json_text.hpp> // parse_json

#include <nlohmann/json.hpp> // json

#include <set>         // set
#include <string>      // string, to_string
#include <string_view> // string_view
#include <utility>     // move
#include <vector>      // vector

namespace parsleyshift
{
namespace
{

/// Parser callback that detects excessive nesting and duplicate keys; nlohmann/json silently keeps the last
/// duplicate.
class parse_monitor
{
  public:
    explicit parse_monitor(int max_depth) : max_depth_(max_depth) {}

    /// @return false to discard the parsed value
    bool on_event(int depth, nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
    {
        using event_type = nlohmann::json::parse_event_t;
        if (event == event_type::object_start || event == event_type::array_start)
        {
            too_deep_ = too_deep_ || depth >= max_depth_;
            keys_per_level_.emplace_back();
        }
        else if (event == event_type::object_end || event == event_type::array_end)
        {
            keys_per_level_.pop_back();
        }
        else if (event == event_type::key)
        {
            add_key(parsed.get_ref<const std::string&>());
        }
        // Discarding values that are nested too deeply bounds the memory of the result.
        return depth <= max_depth_;
    }
    [[nodiscard]] bool too_deep() const noexcept
    {
        return too_deep_;
    }
    [[nodiscard]] const std::string& duplicate_key() const noexcept
    {
        return duplicate_key_;
    }

  private:
    void add_key(const std::string& key)
    {
        if (!keys_per_level_.back().insert(key).second && duplicate_key_.empty())
        {
            duplicate_key_ = key.empty() ? "(empty key)" : key.substr(0, 64);
        }
    }

    int max_depth_;
    bool too_deep_ = false;
    std::string duplicate_key_;
    // Keys of each open object; an open array has an empty set.
    std::vector<std::set<std::string>> keys_per_level_;
};

json_issues single_issue(std::string path, std::string reason, std::string remedy)
{
    json_issues issues;
    issues.add(std::move(path), std::move(reason), std::move(remedy));
    return issues;
}

} // namespace

read_result<nlohmann::json> parse_json(std::string_view text, const json_bounds& bounds)
{
    if (text.size() > bounds.max_bytes)
    {
        return single_issue("", "is larger than " + std::to_string(bounds.max_bytes) + " bytes",
                            "shorten the document");
    }
    parse_monitor monitor{bounds.max_depth};
    const auto callback = [&monitor](int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed)
    {
        return monitor.on_event(depth, event, parsed);
    };
    nlohmann::json document = nlohmann::json::parse(text, callback, false);
    if (monitor.too_deep())
    {
        return single_issue("", "is nested deeper than " + std::to_string(bounds.max_depth) + " levels",
                            "flatten the document");
    }
    if (document.is_discarded())
    {
        return single_issue("", "is not valid JSON", "correct the syntax; the text must be UTF-8");
    }
    if (!monitor.duplicate_key().empty())
    {
        return single_issue(monitor.duplicate_key(), "occurs twice in one object", "remove one of the two");
    }
    return document;
}

} // namespace parsleyshift
