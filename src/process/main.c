#include <stdio.h>

int main(void)
{
	puts("gooseberryspur " GOOSEBERRYSPUR_VERSION);
	return 0;
}
