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

/// Watches the parser for nesting and for duplicate keys, of which nlohmann/json silently keeps the last one.
class parse_watch
{
  public:
    explicit parse_watch(int max_depth) : max_depth_(max_depth) {}

    bool accept(int depth, nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
    {
        using events = nlohmann::json::parse_event_t;
        if (event == events::object_start || event == events::array_start)
        {
            too_deep_ = too_deep_ || depth >= max_depth_;
            keys_.emplace_back();
        }
        else if (event == events::object_end || event == events::array_end)
        {
            keys_.pop_back();
        }
        else if (event == events::key)
        {
            note_key(parsed.get_ref<const std::string&>());
        }
        // Values below the allowed depth are dropped at once and hold no memory.
        return depth <= max_depth_;
    }
    [[nodiscard]] bool too_deep() const noexcept
    {
        return too_deep_;
    }
    [[nodiscard]] const std::string& duplicate() const noexcept
    {
        return duplicate_;
    }

  private:
    void note_key(const std::string& key)
    {
        if (!keys_.back().insert(key).second && duplicate_.empty())
        {
            duplicate_ = key.empty() ? "(empty key)" : key.substr(0, 64);
        }
    }

    int max_depth_;
    bool too_deep_ = false;
    std::string duplicate_;
    std::vector<std::set<std::string>> keys_;
};

json_issues one_issue(std::string path, std::string reason, std::string remedy)
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
        return one_issue("", "is larger than " + std::to_string(bounds.max_bytes) + " bytes", "shorten the document");
    }
    parse_watch watch{bounds.max_depth};
    const auto callback = [&watch](int depth, nlohmann::json::parse_event_t event, nlohmann::json& parsed)
    {
        return watch.accept(depth, event, parsed);
    };
    nlohmann::json document = nlohmann::json::parse(text, callback, false);
    if (watch.too_deep())
    {
        return one_issue("", "is nested deeper than " + std::to_string(bounds.max_depth) + " levels",
                         "flatten the document");
    }
    if (document.is_discarded())
    {
        return one_issue("", "is not JSON", "correct the syntax; the text must be UTF-8");
    }
    if (!watch.duplicate().empty())
    {
        return one_issue(watch.duplicate(), "is given twice in one object", "remove one of the two");
    }
    return document;
}

} // namespace parsleyshift
