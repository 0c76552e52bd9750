#ifndef CYCLAMENRUN_TEXT_TABLE_HPP
#define CYCLAMENRUN_TEXT_TABLE_HPP

#include <ostream>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Writes rows of text in columns as wide as their widest cell. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> headings);

    /** Adds a row; missing cells stay empty, excess cells are dropped. */
    void add(std::vector<std::string> cells);
    void write(std::ostream& stream) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEXT_TABLE_HPP
