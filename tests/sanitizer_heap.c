/* Linked into the program of the sanitizer build: tells a test how much memory the program
 * has allocated at most. The resident memory of such a process is that of the sanitizer's
 * allocator, which keeps what was freed, apart for each size of an allocation.
 */
#include <fcntl.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include "sanitizer_heap.h"

/* Of the sanitizer's runtime, which comes without a header for them. */
int install_malloc_and_free_hooks(
	void (*on_malloc)(const volatile void *, size_t),
	void (*on_free)(
		const volatile void
			*)) __asm__("__sanitizer_install_malloc_and_free_hooks");
size_t allocated_size(const volatile void *block) __asm__(
	"__sanitizer_get_allocated_size");

static atomic_int_least64_t used_bytes;
static atomic_int_least64_t *peak_bytes; /* in the file that the test reads */

static void on_malloc(const volatile void *block, size_t size)
{
	int64_t used =
		atomic_fetch_add(&used_bytes, (int64_t)size) + (int64_t)size;
	int64_t peak = atomic_load(peak_bytes);

	while (used > peak &&
	       !atomic_compare_exchange_weak(peak_bytes, &peak, used))
		;
}

static void on_free(const volatile void *block)
{
	atomic_fetch_sub(&used_bytes, (int64_t)allocated_size(block));
}

/* Begins to count if the environment names a file for the result. */
static __attribute__((constructor)) void count_heap(void)
{
	const char *path = getenv(SANITIZER_HEAP_VARIABLE);
	int fd;

	if (!path)
		return;
	fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (fd < 0 || ftruncate(fd, sizeof(*peak_bytes)) != 0)
		abort();
	peak_bytes = mmap(NULL, sizeof(*peak_bytes), PROT_READ | PROT_WRITE,
			  MAP_SHARED, fd, 0);
	(void)close(fd);
	if (peak_bytes == MAP_FAILED ||
	    install_malloc_and_free_hooks(on_malloc, on_free) == 0)
		abort();
}
