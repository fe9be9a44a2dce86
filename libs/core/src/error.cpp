#include <parsleyshift/core/error.hpp> // error

#include <string> // string, to_string

namespace parsleyshift
{

std::string error::message() const
{
    std::string text = "[";
    text += std::to_string(static_cast<int>(kind));
    text += ' ';
    text += name_of(kind);
    text += "] ";
    text += detail;
    text += "; ";
    text += remedy_of(kind);
    return text;
}

} // namespace parsleyshift
