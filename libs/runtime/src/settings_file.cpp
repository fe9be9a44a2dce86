#include <parsleyshift/runtime/settings_file.hpp> // settings_file

#include <sys/stat.h> // stat

#include <fstream>  // ifstream
#include <iterator> // istreambuf_iterator
#include <utility>  // move

namespace parsleyshift
{

settings_file::settings_file(std::string path) : path_(std::move(path)) {}

result<std::string> settings_file::read()
{
    const mark before = look();
    std::ifstream in(path_, std::ios::binary);
    if (!in)
    {
        return make_error(error_kind::file_unreadable, "settings: cannot open " + path_);
    }
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (in.bad())
    {
        return make_error(error_kind::file_unreadable, "settings: cannot read " + path_);
    }
    last_ = before;
    return text;
}

bool settings_file::changed() const
{
    return look() != last_;
}

settings_file::mark settings_file::look() const
{
    struct stat found
    {
    };
    if (::stat(path_.c_str(), &found) != 0)
    {
        return last_;
    }
    return {found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size};
}

} // namespace parsleyshift
