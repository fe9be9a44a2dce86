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
    // Taken before reading, so that a write during the read is detected as a change.
    const file_stamp before = read_stamp();
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
    last_read_ = before;
    return text;
}

bool settings_file::changed() const
{
    return read_stamp() != last_read_;
}

settings_file::file_stamp settings_file::read_stamp() const
{
    struct stat status
    {
    };
    if (::stat(path_.c_str(), &status) != 0)
    {
        return last_read_;
    }
    return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size};
}

} // namespace parsleyshift
