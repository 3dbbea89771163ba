#include "directory/dialect.hpp"

namespace savoryscale::directory {

namespace {

const dialect* installed = nullptr;

} // namespace

void install_dialect(const dialect& store_dialect)
{
    installed = &store_dialect;
}

const dialect* installed_dialect()
{
    return installed;
}

} // namespace savoryscale::directory
