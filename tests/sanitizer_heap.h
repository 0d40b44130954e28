/* How a test asks a program of the sanitizer build for the memory that it allocates. */
#ifndef SANITIZER_HEAP_H
#define SANITIZER_HEAP_H

/* Environment variable with the path of a file in which the program keeps the most bytes that
 * it has allocated at a time, an int64_t. Other builds make no such file.
 */
#define SANITIZER_HEAP_VARIABLE "SANITIZER_HEAP_FILE"

#endif
