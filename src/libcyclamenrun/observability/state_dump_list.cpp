#include "state_dump_list.hpp"

namespace cyclamenrun
{

state_dump_list::state_dump_list(std::size_t max_shown)
    : max_shown_(max_shown), items_(new Poco::JSON::Array)
{
}

void state_dump_list::add(const Poco::JSON::Object& item)
{
    ++total_;
    if (shows_more())
        items_->add(Poco::JSON::Object::Ptr(new Poco::JSON::Object(item)));
}

void state_dump_list::write(Poco::JSON::Object& object,
                            const std::string& name) const
{
    Poco::JSON::Object::Ptr list(new Poco::JSON::Object);
    list->set("total", total_);
    list->set("items", items_);
    object.set(name, list);
}

} // namespace cyclamenrun
