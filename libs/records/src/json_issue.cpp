#include <parsleyshift/records/json_issue.hpp> // json_issues

#include <string> // string

namespace parsleyshift
{

std::string json_issues::text() const
{
    std::string joined;
    for (const json_issue& issue : all_)
    {
        if (!joined.empty())
        {
            joined += "; ";
        }
        joined += issue.path.empty() ? "document" : issue.path;
        joined += ": " + issue.reason + " (" + issue.remedy + ")";
    }
    return joined;
}

} // namespace parsleyshift
