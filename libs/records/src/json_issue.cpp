#include <parsleyshift/records/json_issue.hpp> // json_issues

#include <string> // string

namespace parsleyshift
{

std::string json_issues::text() const
{
    std::string line;
    for (const json_issue& issue : all_)
    {
        if (!line.empty())
        {
            line += "; ";
        }
        line += issue.path.empty() ? "document" : issue.path;
        line += ": " + issue.reason + " (" + issue.remedy + ")";
    }
    return line;
}

} // namespace parsleyshift
