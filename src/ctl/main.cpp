#include "command_line.hpp"

int main(int argument_count, char** arguments)
{
    cyclamenrun::command_line line;
    return cyclamenrun::to_status(line.run(argument_count, arguments));
}
